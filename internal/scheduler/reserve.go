package scheduler

import (
	"slices"
	"time"
)

// Reservations are kept for the largest waiting gang, for the gangs that come
// first in the order of shares, and for one job of other classes. A VM is part
// of at most one, so that no two pieces of work wait for each other's VMs.
const (
	reserveLargestGang = iota
	reserveGang
	reserveNextGang
	reserveSingle
	reservations
)

const (
	// replanAfter is the least time between two plans of one reservation.
	replanAfter = 5 * time.Second
	// openingFactor is how many times as many openings as needed a plan looks for.
	openingFactor = 4
)

// reservation keeps the VMs on which a job is expected to fit soonest. Other
// work is placed there if it is expected to end earlier or fits beside the job.
type reservation struct {
	job      *job
	vms      []*vm
	expected time.Time // when the job is expected to fit
	until    time.Time // when the reservation is given up
	replanAt time.Time
}

// opening is a time from which one more task of a job fits on a VM.
type opening struct {
	at time.Time
	vm *vm
}

// reserve keeps the reservations up to date and makes new ones for work that has
// waited long without fitting.
func (c *Cell) reserve() {
	for slot := range c.reservations {
		c.review(slot)
		if c.reservations[slot] != nil {
			continue
		}
		if j := c.starving(slot); j != nil {
			c.plan(slot, j, c.pass.now.Add(c.policy.ReserveLimit))
		}
	}
}

// review drops a reservation that is no longer of use and renews its plan when
// the job did not fit when expected.
func (c *Cell) review(slot int) {
	r := c.reservations[slot]
	if r == nil {
		return
	}
	now := c.pass.now
	switch {
	case c.jobs[r.job.ID] != r.job || r.job.group == nil:
		c.dropReservation(slot)
	case !now.Before(r.until):
		r.job.reserveFrom = now.Add(c.policy.ReserveCooldown)
		c.dropReservation(slot)
	case c.claimReserved(r):
		c.dropReservation(slot)
	case now.Before(r.replanAt) || (now.Before(r.expected) && r.intact()):
	default:
		c.dropReservation(slot)
		c.plan(slot, r.job, r.until)
	}
}

// intact reports whether all VMs of the reservation take work.
func (r *reservation) intact() bool {
	for _, v := range r.vms {
		if !v.known || v.State != VMLive {
			return false
		}
	}
	return true
}

// starving returns the job that has waited too long and is to get the
// reservation, or nil.
func (c *Cell) starving(slot int) *job {
	var best *job
	gang := slot != reserveSingle
	for _, p := range c.parked[levelNormal] {
		g := p.group
		if (g.tasks > 0) != gang || g.reason != parkedForRoom {
			continue
		}
		j := g.jobs[0]
		if c.pass.now.Sub(j.waitingSince) < c.policy.ReserveAfter || j.reserveFrom.After(c.pass.now) || len(j.claims) > 0 || c.reserved(j) {
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

// reserveBefore orders the jobs that may get a reservation.
func (c *Cell) reserveBefore(slot int, a, b *job) bool {
	switch slot {
	case reserveLargestGang:
		return larger(c, a, b)
	case reserveSingle:
		return before(a, b)
	}
	return a.group.ahead(b.group)
}

// reserved reports whether the job has a reservation.
func (c *Cell) reserved(j *job) bool {
	for _, r := range c.reservations {
		if r != nil && r.job == j {
			return true
		}
	}
	return false
}

func larger(c *Cell, a, b *job) bool {
	sa, sb := a.size.times(len(a.pending)).shareOf(c.total), b.size.times(len(b.pending)).shareOf(c.total)
	if sa != sb {
		return sa > sb
	}
	return before(a, b)
}

// plan reserves the VMs on which the job, or one task of it, fits soonest.
func (c *Cell) plan(slot int, j *job, until time.Time) {
	n := 1
	if j.gang() {
		n = len(j.pending)
	}
	openings := c.openings(j, n)
	r := &reservation{job: j, until: until, replanAt: c.pass.now.Add(replanAfter)}
	if len(openings) < n || openings[n-1].at.After(until) {
		// What is known of the run times gives no hope within the limit: look again later.
		j.reserveFrom = c.pass.now.Add(c.policy.ReserveAfter)
		return
	}
	r.expected = openings[n-1].at
	for _, o := range openings[:n] {
		if o.vm.reservation == nil {
			o.vm.reservation = r
			o.vm.slack = c.availAt(o.vm, r.expected)
			r.vms = append(r.vms, o.vm)
		}
		o.vm.slack = o.vm.slack.sub(j.size)
	}
	c.reservations[slot] = r
}

// openings returns the times from which up to n tasks of the job fit on each of
// a bounded number of VMs, in order. Each plan starts with other VMs.
func (c *Cell) openings(j *job, n int) []opening {
	var list []opening
	examined := 0
	for range c.fleet {
		if examined >= c.policy.ReserveVMs && len(list) >= openingFactor*n {
			break
		}
		c.planCursor = (c.planCursor + 1) % len(c.fleet)
		v := c.fleet[c.planCursor]
		if v.reservation == nil && v.takesWork() && j.size.fits(v.capacity) {
			list = c.openingsOf(list, v, j.size, n)
			examined++
		}
	}
	slices.SortStableFunc(list, func(a, b opening) int { return a.at.Compare(b.at) })
	return list
}

func (c *Cell) openingsOf(list []opening, v *vm, size vec, n int) []opening {
	free := v.avail.max(vec{})
	count := free.copies(size, n)
	for range count {
		list = append(list, opening{at: c.pass.now, vm: v})
	}
	if count == n {
		return list
	}
	for _, e := range c.endsOf(v) {
		free = free.add(e.size)
		for more := free.copies(size, n); count < more; count++ {
			list = append(list, opening{at: e.at, vm: v})
		}
	}
	return list
}

// ending is the expected end of a task.
type ending struct {
	at   time.Time
	size vec
}

// endsOf returns the expected ends of the tasks on the VM in order.
func (c *Cell) endsOf(v *vm) []ending {
	list := c.pass.endings[:0]
	for _, t := range v.tasks {
		list = append(list, ending{at: c.endOf(t, c.pass.now), size: t.size})
	}
	slices.SortStableFunc(list, func(a, b ending) int { return a.at.Compare(b.at) })
	c.pass.endings = list
	return list
}

// availAt returns what is expected to be available on the VM at a time.
func (c *Cell) availAt(v *vm, at time.Time) vec {
	free := v.avail
	for _, t := range v.tasks {
		if !c.endOf(t, c.pass.now).After(at) {
			free = free.add(t.size)
		}
	}
	return free
}

func (c *Cell) dropReservation(slot int) {
	for _, v := range c.reservations[slot].vms {
		v.reservation = nil
		c.noteFreed(v)
	}
	c.reservations[slot] = nil
}

// unreserve drops the reservation that the VM is part of.
func (c *Cell) unreserve(v *vm) {
	for slot, r := range c.reservations {
		if r != nil && r == v.reservation {
			c.dropReservation(slot)
		}
	}
}
