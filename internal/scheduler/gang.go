package scheduler

import (
	"fmt"
	"time"
)

// trialPlacement is a tentative allocation for one member of a gang.
type trialPlacement struct {
	vm      *vm
	victims []*task // tasks whose resources count as free
}

// placeGang places all pending tasks of the gang or none.
func (s *State) placeGang(j *job) bool {
	n := len(j.pending)
	if len(j.claims) > 0 {
		return s.placeClaimedGang(j)
	}
	if s.maxFitting(j.size) < n {
		return false
	}
	s.inTrial = true
	chosen := s.trialPlaceGang(j, n)
	s.revertTrial(j, chosen)
	if len(chosen) < n {
		return false
	}
	s.placeGangOn(j, chosen)
	return true
}

// trialPlaceGang allocates up to n tasks of the gang tentatively.
func (s *State) trialPlaceGang(j *job, n int) []trialPlacement {
	chosen := make([]trialPlacement, 0, n)
	for range n {
		v := s.chooseVM(j)
		if v == nil {
			break
		}
		chosen = append(chosen, s.trialPlace(j, v, nil))
	}
	return chosen
}

// trialPlace allocates one task of the gang on the VM tentatively, in place of
// the victims.
func (s *State) trialPlace(j *job, v *vm, victims []*task) trialPlacement {
	for _, t := range victims {
		t.trialVictim = true
		v.allocated = v.allocated.sub(t.size)
		t.job.team.releasing = t.job.team.releasing.add(t.size)
	}
	v.allocated = v.allocated.add(j.size)
	v.reservationSlack = v.reservationSlack.sub(j.size)
	j.spread.adjust(v, v.rackKey(), 1)
	s.updateAvailable(v)
	return trialPlacement{vm: v, victims: victims}
}

// revertTrial reverts all trial placements and ends the trial.
func (s *State) revertTrial(j *job, chosen []trialPlacement) {
	for i := len(chosen) - 1; i >= 0; i-- {
		s.revertTrialPlacement(j, chosen[i])
	}
	s.inTrial = false
}

// revertTrialPlacement reverts trialPlace.
func (s *State) revertTrialPlacement(j *job, placement trialPlacement) {
	v := placement.vm
	for _, t := range placement.victims {
		t.trialVictim = false
		v.allocated = v.allocated.add(t.size)
		t.job.team.releasing = t.job.team.releasing.sub(t.size)
	}
	v.allocated = v.allocated.sub(j.size)
	v.reservationSlack = v.reservationSlack.add(j.size)
	j.spread.adjust(v, v.rackKey(), -1)
	s.updateAvailable(v)
}

// placeClaimedGang places the gang if all capacity claimed for it is free.
func (s *State) placeClaimedGang(j *job) bool {
	chosen := make([]trialPlacement, 0, len(j.claims))
	s.inTrial = true
	for _, cl := range j.claims {
		if !cl.fitsNow() {
			break
		}
		chosen = append(chosen, s.trialPlace(j, cl.vm, nil))
	}
	s.revertTrial(j, chosen)
	if len(chosen) < len(j.pending) {
		return false
	}
	s.releaseClaims(j)
	s.placeGangOn(j, chosen)
	return true
}

// placeGangOn places the gang on the chosen VMs.
func (s *State) placeGangOn(j *job, chosen []trialPlacement) {
	j.gangStarts++
	gangStartID := fmt.Sprintf("%s#%d", j.ID, j.gangStarts)
	for _, placement := range chosen {
		s.placeTask(s.popPending(j), placement.vm, gangStartID)
	}
}

// preemptForGang preempts tasks so that the whole gang fits, or preempts none.
func (s *State) preemptForGang(g *jobGroup) {
	j := g.jobs[0]
	n := len(j.pending)
	if len(j.claims) > 0 || n > s.policy.MaxPreemptingGang || s.pass.preemptionSearches >= s.policy.MaxPreemptionSearches {
		return
	}
	s.updateEntitlements()
	s.delayPreemption(g)
	r, ok := s.newPreemptionRequest(j, j.size.times(n))
	if !ok || !j.team.withinBudget(j.team.claimed.add(j.size.times(n))) {
		return
	}
	s.pass.preemptionSearches++
	s.inTrial = true
	chosen := s.trialPlaceGang(j, n)
	for len(chosen) < n {
		victims := s.cheapestVictims(r)
		if victims.vm == nil {
			break
		}
		chosen = append(chosen, s.trialPlace(j, victims.vm, victims.tasks))
	}
	s.revertTrial(j, chosen)
	if len(chosen) < n {
		return
	}
	for _, placement := range chosen {
		s.preemptVictims(victimSet{vm: placement.vm, tasks: placement.victims}, r)
		s.addClaim(j, placement.vm, s.pass.now)
	}
}

// restartGang stops the remaining members of a gang after a member ended
// without success. The whole gang starts again after the delay at the earliest.
func (s *State) restartGang(j *job, now time.Time, delay time.Duration) {
	j.restarting = true
	if retryAt := now.Add(delay); retryAt.After(j.retryAt) {
		j.retryAt = retryAt
	}
	if j.placedTasks > 0 {
		s.queueStop(j)
	}
	s.scheduleGangRestart(j, now)
}

// scheduleGangRestart sets the timer for the retry of a restarting gang once no
// member occupies a VM.
func (s *State) scheduleGangRestart(j *job, now time.Time) {
	if !j.isGang() || !j.restarting || j.ended || j.placedTasks > 0 || j.unfinished == 0 {
		return
	}
	if !j.retryAt.After(now) {
		s.makeGangPending(j)
		return
	}
	s.addTimer(timer{at: j.retryAt, kind: timerGangRestart, job: j, generation: int64(j.gangStarts)})
}

// makeGangPending makes all unfinished members of the gang pending.
func (s *State) makeGangPending(j *job) {
	if !j.restarting || j.ended || j.placedTasks > 0 {
		return
	}
	j.restarting = false
	j.retryAt = time.Time{}
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == taskWaiting {
			s.makePending(&j.tasks[i])
		}
	}
}

// partiallyPlaced reports whether only some of the unfinished tasks of a gang
// that is not queued occupy a VM. This can happen after a takeover.
func (j *job) partiallyPlaced() bool {
	return j.isGang() && j.group == nil && j.placedTasks < j.unfinished
}
