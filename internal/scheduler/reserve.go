package scheduler

import (
	"slices"
	"time"
)

// Slots for reservations: one for the largest waiting gang, two for the gangs
// that come first in the order of shares, and one for a job of another class. A
// VM belongs to at most one reservation, so that no two jobs wait for each
// other's VMs.
const (
	slotLargestGang = iota
	slotFirstGang
	slotSecondGang
	slotNonGang
	reservationSlots
)

const (
	// replanInterval is the minimum time between two plans of one reservation.
	replanInterval = 5 * time.Second
	// expectedFitFactor is the number of expected fits that a plan looks for per
	// fit that the reservation needs. It examines further VMs until it has found
	// them.
	expectedFitFactor = 4
)

// reservation holds the VMs on which a job is expected to fit soonest. Other
// tasks may be placed there if they are expected to end earlier or fit beside
// the job.
type reservation struct {
	job            *job
	vms            []*vm
	expectedStart  time.Time // when the job is expected to fit
	expiresAt      time.Time // when the reservation expires
	earliestReplan time.Time
}

// expectedFit is the time from which one more task of a job is expected to fit
// on a VM.
type expectedFit struct {
	at time.Time
	vm *vm
}

// updateReservations renews or drops the reservations and makes new ones for
// work that has waited long without fitting.
func (s *State) updateReservations() {
	for slot := range s.reservations {
		s.reviewReservation(slot)
		if s.reservations[slot] != nil {
			continue
		}
		if j := s.nextToReserve(slot); j != nil {
			s.planReservation(slot, j, s.pass.now.Add(s.policy.MaxReservationLife))
		}
	}
}

// reviewReservation drops a reservation that is no longer needed and makes a
// new plan if the job did not fit at the expected time.
func (s *State) reviewReservation(slot int) {
	r := s.reservations[slot]
	if r == nil {
		return
	}
	now := s.pass.now
	switch {
	case s.jobs[r.job.ID] != r.job || r.job.group == nil:
		s.dropReservation(slot)
	case !now.Before(r.expiresAt):
		r.job.reservableFrom = now.Add(s.policy.ReservationCooldown)
		s.dropReservation(slot)
	case s.claimReservedVMs(r):
		s.dropReservation(slot)
	case now.Before(r.earliestReplan) || (now.Before(r.expectedStart) && r.allVMsLive()):
		// The plan stays in force.
	default:
		s.dropReservation(slot)
		s.planReservation(slot, r.job, r.expiresAt)
	}
}

// allVMsLive reports whether all VMs of the reservation are live.
func (r *reservation) allVMsLive() bool {
	for _, v := range r.vms {
		if !v.registered || v.State != VMLive {
			return false
		}
	}
	return true
}

// nextToReserve returns the waiting job that gets the reservation of the slot,
// or nil.
func (s *State) nextToReserve(slot int) *job {
	var best *job
	gang := slot != slotNonGang
	for _, entry := range s.unschedulable[priorityNormal] {
		g := entry.group
		if (g.tasks > 0) != gang || g.reason != waitsForCapacity {
			continue
		}
		j := g.jobs[0]
		if s.pass.now.Sub(j.waitingSince) < s.policy.ReservationWait || j.reservableFrom.After(s.pass.now) || len(j.claims) > 0 || s.hasReservation(j) {
			continue
		}
		if !j.team.withinBudget(j.size.times(max(1, g.tasks))) {
			continue
		}
		if best == nil || s.reserveBefore(slot, j, best) {
			best = j
		}
	}
	return best
}

// reserveBefore orders the candidates for a reservation slot.
func (s *State) reserveBefore(slot int, a, b *job) bool {
	switch slot {
	case slotLargestGang:
		return largerGang(s, a, b)
	case slotNonGang:
		return jobPrecedes(a, b)
	}
	return a.group.precedes(b.group)
}

// hasReservation reports whether the job has a reservation.
func (s *State) hasReservation(j *job) bool {
	for _, r := range s.reservations {
		if r != nil && r.job == j {
			return true
		}
	}
	return false
}

func largerGang(s *State, a, b *job) bool {
	sa, sb := a.size.times(len(a.pending)).dominantShareOf(s.totalCapacity), b.size.times(len(b.pending)).dominantShareOf(s.totalCapacity)
	if sa != sb {
		return sa > sb
	}
	return jobPrecedes(a, b)
}

// planReservation reserves the VMs on which all pending tasks of a gang, or one
// task of another job, are expected to fit soonest.
func (s *State) planReservation(slot int, j *job, expiresAt time.Time) {
	n := 1
	if j.isGang() {
		n = len(j.pending)
	}
	fits := s.expectedFits(j, n)
	r := &reservation{job: j, expiresAt: expiresAt, earliestReplan: s.pass.now.Add(replanInterval)}
	if len(fits) < n || fits[n-1].at.After(expiresAt) {
		// The job is not expected to fit within the life of the reservation;
		// retry later.
		j.reservableFrom = s.pass.now.Add(s.policy.ReservationWait)
		return
	}
	r.expectedStart = fits[n-1].at
	for _, fit := range fits[:n] {
		if fit.vm.reservation == nil {
			fit.vm.reservation = r
			fit.vm.reservationSlack = s.expectedAvailable(fit.vm, r.expectedStart)
			r.vms = append(r.vms, fit.vm)
		}
		fit.vm.reservationSlack = fit.vm.reservationSlack.sub(j.size)
	}
	s.reservations[slot] = r
}

// expectedFits returns the times from which up to n tasks of the job are expected
// to fit on each of a bounded number of VMs, sorted. Each call continues with the
// VMs after those that the last call examined.
func (s *State) expectedFits(j *job, n int) []expectedFit {
	var list []expectedFit
	examined := 0
	for range s.sortedVMs {
		if examined >= s.policy.ReservationVMs && len(list) >= expectedFitFactor*n {
			break
		}
		s.reservationCursor = (s.reservationCursor + 1) % len(s.sortedVMs)
		v := s.sortedVMs[s.reservationCursor]
		if v.reservation == nil && v.takesWork() && j.size.fits(v.capacity) {
			list = s.expectedFitsOn(list, v, j.size, n)
			examined++
		}
	}
	slices.SortStableFunc(list, func(a, b expectedFit) int { return a.at.Compare(b.at) })
	return list
}

func (s *State) expectedFitsOn(list []expectedFit, v *vm, size resourceVec, n int) []expectedFit {
	free := v.available.max(resourceVec{})
	count := free.countFitting(size, n)
	for range count {
		list = append(list, expectedFit{at: s.pass.now, vm: v})
	}
	if count == n {
		return list
	}
	for _, e := range s.expectedEnds(v) {
		free = free.add(e.size)
		for more := free.countFitting(size, n); count < more; count++ {
			list = append(list, expectedFit{at: e.at, vm: v})
		}
	}
	return list
}

// expectedEnd is the expected end of a task and its size.
type expectedEnd struct {
	at   time.Time
	size resourceVec
}

// expectedEnds returns the expected ends of the tasks on the VM, sorted.
func (s *State) expectedEnds(v *vm) []expectedEnd {
	list := s.pass.ends[:0]
	for _, t := range v.tasks {
		list = append(list, expectedEnd{at: s.estimateEnd(t, s.pass.now), size: t.size})
	}
	slices.SortStableFunc(list, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	s.pass.ends = list
	return list
}

// expectedAvailable returns the capacity that is expected to be available on
// the VM at the given time.
func (s *State) expectedAvailable(v *vm, at time.Time) resourceVec {
	free := v.available
	for _, t := range v.tasks {
		if !s.estimateEnd(t, s.pass.now).After(at) {
			free = free.add(t.size)
		}
	}
	return free
}

func (s *State) dropReservation(slot int) {
	for _, v := range s.reservations[slot].vms {
		v.reservation = nil
		s.addFreedVM(v)
	}
	s.reservations[slot] = nil
}

// dropReservationOf drops the reservation that includes the VM.
func (s *State) dropReservationOf(v *vm) {
	for slot, r := range s.reservations {
		if r != nil && r == v.reservation {
			s.dropReservation(slot)
		}
	}
}
