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
	// expectedFitFactor is how many times the needed number of expected fits a
	// plan collects.
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
func (c *State) updateReservations() {
	for slot := range c.reservations {
		c.reviewReservation(slot)
		if c.reservations[slot] != nil {
			continue
		}
		if j := c.nextToReserve(slot); j != nil {
			c.planReservation(slot, j, c.pass.now.Add(c.policy.MaxReservationLife))
		}
	}
}

// reviewReservation drops a reservation that is no longer needed and makes a
// new plan if the job did not fit at the expected time.
func (c *State) reviewReservation(slot int) {
	r := c.reservations[slot]
	if r == nil {
		return
	}
	now := c.pass.now
	switch {
	case c.jobs[r.job.ID] != r.job || r.job.group == nil:
		c.dropReservation(slot)
	case !now.Before(r.expiresAt):
		r.job.reservableFrom = now.Add(c.policy.ReservationCooldown)
		c.dropReservation(slot)
	case c.claimReservedVMs(r):
		c.dropReservation(slot)
	case now.Before(r.earliestReplan) || (now.Before(r.expectedStart) && r.allVMsLive()):
	default:
		c.dropReservation(slot)
		c.planReservation(slot, r.job, r.expiresAt)
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
func (c *State) nextToReserve(slot int) *job {
	var best *job
	gang := slot != slotNonGang
	for _, p := range c.unschedulable[priorityNormal] {
		g := p.group
		if (g.tasks > 0) != gang || g.reason != waitsForCapacity {
			continue
		}
		j := g.jobs[0]
		if c.pass.now.Sub(j.waitingSince) < c.policy.ReservationWait || j.reservableFrom.After(c.pass.now) || len(j.claims) > 0 || c.hasReservation(j) {
			continue
		}
		if !j.team.withinBudget(j.size.times(max(1, g.tasks))) {
			continue
		}
		if best == nil || c.reserveBefore(slot, j, best) {
			best = j
		}
	}
	return best
}

// reserveBefore orders the candidates for a reservation slot.
func (c *State) reserveBefore(slot int, a, b *job) bool {
	switch slot {
	case slotLargestGang:
		return largerGang(c, a, b)
	case slotNonGang:
		return jobPrecedes(a, b)
	}
	return a.group.precedes(b.group)
}

// hasReservation reports whether the job has a reservation.
func (c *State) hasReservation(j *job) bool {
	for _, r := range c.reservations {
		if r != nil && r.job == j {
			return true
		}
	}
	return false
}

func largerGang(c *State, a, b *job) bool {
	sa, sb := a.size.times(len(a.pending)).dominantShareOf(c.totalCapacity), b.size.times(len(b.pending)).dominantShareOf(c.totalCapacity)
	if sa != sb {
		return sa > sb
	}
	return jobPrecedes(a, b)
}

// planReservation reserves the VMs on which the job, or one task of it, is
// expected to fit soonest.
func (c *State) planReservation(slot int, j *job, until time.Time) {
	n := 1
	if j.isGang() {
		n = len(j.pending)
	}
	fits := c.expectedFits(j, n)
	r := &reservation{job: j, expiresAt: until, earliestReplan: c.pass.now.Add(replanInterval)}
	if len(fits) < n || fits[n-1].at.After(until) {
		// The job is not expected to fit within the life of the reservation;
		// retry later.
		j.reservableFrom = c.pass.now.Add(c.policy.ReservationWait)
		return
	}
	r.expectedStart = fits[n-1].at
	for _, o := range fits[:n] {
		if o.vm.reservation == nil {
			o.vm.reservation = r
			o.vm.reservationSlack = c.expectedAvailable(o.vm, r.expectedStart)
			r.vms = append(r.vms, o.vm)
		}
		o.vm.reservationSlack = o.vm.reservationSlack.sub(j.size)
	}
	c.reservations[slot] = r
}

// expectedFits returns the times from which up to n tasks of the job fit on
// each of a bounded number of VMs, sorted. Each plan starts with other VMs.
func (c *State) expectedFits(j *job, n int) []expectedFit {
	var list []expectedFit
	examined := 0
	for range c.sortedVMs {
		if examined >= c.policy.ReservationVMs && len(list) >= expectedFitFactor*n {
			break
		}
		c.reservationCursor = (c.reservationCursor + 1) % len(c.sortedVMs)
		v := c.sortedVMs[c.reservationCursor]
		if v.reservation == nil && v.takesWork() && j.size.fits(v.capacity) {
			list = c.expectedFitsOn(list, v, j.size, n)
			examined++
		}
	}
	slices.SortStableFunc(list, func(a, b expectedFit) int { return a.at.Compare(b.at) })
	return list
}

func (c *State) expectedFitsOn(list []expectedFit, v *vm, size resourceVec, n int) []expectedFit {
	free := v.available.max(resourceVec{})
	count := free.countFitting(size, n)
	for range count {
		list = append(list, expectedFit{at: c.pass.now, vm: v})
	}
	if count == n {
		return list
	}
	for _, e := range c.expectedEnds(v) {
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
func (c *State) expectedEnds(v *vm) []expectedEnd {
	list := c.pass.ends[:0]
	for _, t := range v.tasks {
		list = append(list, expectedEnd{at: c.estimateEnd(t, c.pass.now), size: t.size})
	}
	slices.SortStableFunc(list, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	c.pass.ends = list
	return list
}

// expectedAvailable returns the capacity that is expected to be available on
// the VM at the given time.
func (c *State) expectedAvailable(v *vm, at time.Time) resourceVec {
	free := v.available
	for _, t := range v.tasks {
		if !c.estimateEnd(t, c.pass.now).After(at) {
			free = free.add(t.size)
		}
	}
	return free
}

func (c *State) dropReservation(slot int) {
	for _, v := range c.reservations[slot].vms {
		v.reservation = nil
		c.addFreedVM(v)
	}
	c.reservations[slot] = nil
}

// dropReservationOf drops the reservation that includes the VM.
func (c *State) dropReservationOf(v *vm) {
	for slot, r := range c.reservations {
		if r != nil && r == v.reservation {
			c.dropReservation(slot)
		}
	}
}
