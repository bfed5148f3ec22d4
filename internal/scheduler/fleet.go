package scheduler

import (
	"sort"
	"time"
)

// capacityClass counts the VMs of one capacity.
type capacityClass struct {
	capacity vec
	count    int
}

// UpsertVM adds a VM or replaces what is known of it.
func (c *Cell) UpsertVM(in VM) {
	v, ok := c.vms[in.ID]
	if !ok {
		v = c.addVM(in.ID)
	}
	if v.known {
		c.countClass(v.capacity, -1)
	}
	c.close(v)
	if v.domain != nil && v.domain.name != in.FailureDomain {
		v.domain = nil
	}
	v.VM = in
	v.known = true
	v.capacity = toVec(in.Capacity)
	v.domain = c.domain(in.FailureDomain)
	c.countClass(v.capacity, 1)
	c.setLeaving(v, in.State == VMLeaving)
	c.refresh(v)
	c.recount()
}

// RemoveVM forgets a VM that is gone for good. Its tasks count as lost.
func (c *Cell) RemoveVM(id string, now time.Time) {
	v, ok := c.vms[id]
	if !ok {
		return
	}
	v.State = VMUnreachable // keeps it out of the indexes while its tasks end
	c.close(v)
	c.unreserve(v)
	for len(v.claims) > 0 {
		c.expireClaim(v.claims[0])
	}
	c.setLeaving(v, false)
	for len(v.tasks) > 0 {
		t := v.tasks[len(v.tasks)-1]
		c.exit(t, Lost, now)
	}
	if v.known {
		c.countClass(v.capacity, -1)
	}
	delete(c.vms, id)
	at := sort.Search(len(c.fleet), func(i int) bool { return c.fleet[i].ID >= id })
	c.fleet = append(c.fleet[:at], c.fleet[at+1:]...)
	c.recount()
}

// addVM adds a VM of which nothing is known yet.
func (c *Cell) addVM(id string) *vm {
	v := &vm{VM: VM{ID: id, State: VMUnreachable}}
	c.vms[id] = v
	at := sort.Search(len(c.fleet), func(i int) bool { return c.fleet[i].ID >= id })
	c.fleet = append(c.fleet, nil)
	copy(c.fleet[at+1:], c.fleet[at:])
	c.fleet[at] = v
	return v
}

// domain returns the failure domain of the name and adds it if needed.
func (c *Cell) domain(name string) *domain {
	if d, ok := c.domains[name]; ok {
		return d
	}
	d := &domain{name: name}
	for k := range d.index {
		d.index[k] = newVMIndex(domainIndex)
	}
	c.domains[name] = d
	c.domainOrder = append(c.domainOrder, d)
	sort.Slice(c.domainOrder, func(i, k int) bool { return c.domainOrder[i].name < c.domainOrder[k].name })
	return d
}

// countClass changes the number of VMs of a capacity by delta.
func (c *Cell) countClass(capacity vec, delta int) {
	c.fleetVersion++
	for i := range c.classes {
		if c.classes[i].capacity != capacity {
			continue
		}
		c.classes[i].count += delta
		if c.classes[i].count == 0 {
			c.classes = append(c.classes[:i], c.classes[i+1:]...)
		}
		return
	}
	c.classes = append(c.classes, capacityClass{capacity: capacity, count: delta})
}

// recount recomputes the capacity of the cell. VMs that are leaving or
// unreachable do not count.
func (c *Cell) recount() {
	c.total = vec{}
	for _, v := range c.fleet {
		if v.known && v.State == VMLive {
			c.total = c.total.add(v.capacity)
		}
	}
	c.updateShares()
}

// kind returns the index kind of the VM.
func (v *vm) kind() int {
	if v.capacity[dimAccelerators] > 0 {
		return kindAccelerated
	}
	return kindPlain
}

// refresh recomputes what the VM has free and its place in the indexes.
func (c *Cell) refresh(v *vm) {
	old := v.avail
	v.avail = v.capacity.sub(v.held)
	if len(v.claims) > 0 {
		v.avail = v.avail.sub(v.kept())
		// Room that is only taken on trial wakes nobody: two gangs with claims on one
		// VM would wake each other without end.
		if !c.trying {
			for _, cl := range v.claims {
				c.wake(cl.job.group)
			}
		}
	}
	if v.known && v.State != VMUnreachable && v.overfull() {
		c.crowded = append(c.crowded, v)
	}
	open := v.takesWork()
	if open && (!v.open || !v.avail.fits(old)) {
		c.noteFreed(v)
	}
	switch {
	case open && v.open:
		c.index[v.kind()].move(v)
		v.domain.index[v.kind()].move(v)
	case open:
		v.open = true
		c.index[v.kind()].insert(v)
		v.domain.index[v.kind()].insert(v)
	case v.open:
		c.close(v)
	}
}

// close takes the VM out of the indexes.
func (c *Cell) close(v *vm) {
	if !v.open {
		return
	}
	v.open = false
	c.index[v.kind()].remove(v)
	v.domain.index[v.kind()].remove(v)
}

// takesWork reports whether work may be placed on the VM.
func (v *vm) takesWork() bool {
	return v.known && v.State == VMLive && v.backoff.IsZero() && v.outgrown == 0 && (!v.probation || len(v.tasks) == 0)
}

// pauseVM keeps work away from the VM until the given time.
func (c *Cell) pauseVM(v *vm, until time.Time) {
	if !until.After(v.backoff) {
		return
	}
	v.backoff = until
	v.timer++
	c.addTimer(timer{at: until, kind: timerVM, vm: v, gen: v.timer})
	c.refresh(v)
}

// reopen lets the VM take work again.
func (c *Cell) reopen(v *vm) {
	v.backoff = time.Time{}
	c.refresh(v)
}

// setLeaving adds the VM to the leaving ones or removes it.
func (c *Cell) setLeaving(v *vm, leaving bool) {
	at := sort.Search(len(c.leaving), func(i int) bool { return c.leaving[i].ID >= v.ID })
	listed := at < len(c.leaving) && c.leaving[at] == v
	switch {
	case leaving && !listed:
		c.leaving = append(c.leaving, nil)
		copy(c.leaving[at+1:], c.leaving[at:])
		c.leaving[at] = v
	case !leaving && listed:
		c.leaving = append(c.leaving[:at], c.leaving[at+1:]...)
	}
}
