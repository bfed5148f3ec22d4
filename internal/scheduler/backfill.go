package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// mayBackfill reports whether a task of the job may use the VM in spite of a
// reservation for another job: it is urgent, it is expected to end early enough,
// it fits beside the reserved work, or it can be checkpointed when the reserved
// work starts.
func (s *State) mayBackfill(j *job, v *vm) bool {
	r := v.reservation
	return r == nil || r.job == j || j.priority == priorityUrgent || isCheckpointableBatch(j) || s.compatibleWithReservation(j, v)
}

// isCheckpointableBatch reports whether tasks of the job can be preempted for
// reserved work with little loss.
func isCheckpointableBatch(j *job) bool { return j.Checkpointable && j.Class == api.ClassBatch }

// compatibleWithReservation reports whether a task of the job would not delay
// the work that the VM is reserved for.
func (s *State) compatibleWithReservation(j *job, v *vm) bool {
	return s.expectedToEndBy(j, v.reservation.expectedStart) || j.size.fits(v.reservationSlack)
}

// expectedToEndBy reports whether a task of the job that starts now is expected
// to end by the given time.
func (s *State) expectedToEndBy(j *job, at time.Time) bool {
	return !s.pass.now.Add(s.estimateRunTime(j, highQuantile)).After(at)
}

// recordBackfill records the effect of a task on the reservation of its VM: the
// task reduces the slack, or it must be preempted when the reserved work can
// start.
func (s *State) recordBackfill(t *task, v *vm) {
	t.yieldsToReservation = false
	r := v.reservation
	if r == nil || r.job == t.job || s.expectedToEndBy(t.job, r.expectedStart) {
		return
	}
	if isCheckpointableBatch(t.job) && !t.job.size.fits(v.reservationSlack) {
		t.yieldsToReservation = true
		return
	}
	v.reservationSlack = v.reservationSlack.sub(t.job.size)
}

// claimReservedVMs claims capacity for the reserved work if it fits after
// preemption of the backfill tasks, and reports whether it did.
func (s *State) claimReservedVMs(r *reservation) bool {
	n := 1
	if r.job.isGang() {
		n = len(r.job.pending)
	}
	if len(r.job.claims) > 0 || !r.job.team.withinBudget(r.job.team.claimed.add(r.job.size.times(n))) {
		return false
	}
	fitting := 0
	for _, v := range r.vms {
		fitting += availableWithoutBackfill(v).countFitting(r.job.size, n)
	}
	if fitting < n {
		return false
	}
	for _, v := range r.vms {
		k := min(n, availableWithoutBackfill(v).countFitting(r.job.size, n))
		n -= k
		s.preemptBackfill(r, v, k)
	}
	return true
}

// availableWithoutBackfill returns the capacity available on the VM after
// preemption of its backfill tasks.
func availableWithoutBackfill(v *vm) resourceVec {
	if !v.takesWork() {
		return resourceVec{}
	}
	available := v.available
	for _, t := range v.tasks {
		if t.yieldsToReservation && t.stoppable() {
			available = available.add(t.size)
		}
	}
	return available
}

// preemptBackfill claims capacity for k tasks of the reserved work and
// checkpoints backfill tasks until they fit.
func (s *State) preemptBackfill(r *reservation, v *vm, k int) {
	need := r.job.size.times(k)
	available := v.available
	for _, t := range v.tasks {
		if need.fits(available) {
			break
		}
		if t.yieldsToReservation && t.stoppable() {
			available = available.add(t.size)
			s.preemptTask(t, DecisionCheckpoint, "preempted for work that the VM is reserved for", false)
		}
	}
	for range k {
		s.addClaim(r.job, v, s.pass.now)
	}
}
