package scheduler

import (
	"sort"
	"time"
)

// capacityClass counts the VMs with one capacity.
type capacityClass struct {
	capacity resourceVec
	count    int
}

// UpsertVM adds a VM or updates its attributes.
func (c *State) UpsertVM(in VM) {
	v, ok := c.vms[in.ID]
	if !ok {
		v = c.addVM(in.ID)
	}
	if v.registered {
		c.addCapacityClass(v.capacity, -1)
	}
	c.removeFromIndexes(v)
	if v.domain != nil && v.domain.name != in.FailureDomain {
		v.domain = nil
	}
	v.VM = in
	v.registered = true
	v.capacity = toResourceVec(in.Capacity)
	v.domain = c.ensureDomain(in.FailureDomain)
	c.addCapacityClass(v.capacity, 1)
	c.setLeaving(v, in.State == VMLeaving)
	c.updateAvailable(v)
	c.updateTotalCapacity()
}

// RemoveVM removes a VM that no longer exists. Its tasks count as lost.
func (c *State) RemoveVM(id string, now time.Time) {
	v, ok := c.vms[id]
	if !ok {
		return
	}
	v.State = VMUnreachable // keeps the VM out of the indexes while its tasks are removed
	c.removeFromIndexes(v)
	c.dropReservationOf(v)
	for len(v.claims) > 0 {
		c.expireClaim(v.claims[0])
	}
	c.setLeaving(v, false)
	for len(v.tasks) > 0 {
		t := v.tasks[len(v.tasks)-1]
		c.handleExit(t, Lost, now)
	}
	if v.registered {
		c.addCapacityClass(v.capacity, -1)
	}
	delete(c.vms, id)
	at := sort.Search(len(c.sortedVMs), func(i int) bool { return c.sortedVMs[i].ID >= id })
	c.sortedVMs = append(c.sortedVMs[:at], c.sortedVMs[at+1:]...)
	c.updateTotalCapacity()
}

// addVM adds a VM whose attributes are not known yet.
func (c *State) addVM(id string) *vm {
	v := &vm{VM: VM{ID: id, State: VMUnreachable}}
	c.vms[id] = v
	at := sort.Search(len(c.sortedVMs), func(i int) bool { return c.sortedVMs[i].ID >= id })
	c.sortedVMs = append(c.sortedVMs, nil)
	copy(c.sortedVMs[at+1:], c.sortedVMs[at:])
	c.sortedVMs[at] = v
	return v
}

// ensureDomain returns the failure domain with the name and adds it if it does
// not exist.
func (c *State) ensureDomain(name string) *domain {
	if d, ok := c.domains[name]; ok {
		return d
	}
	d := &domain{name: name}
	for k := range d.index {
		d.index[k] = newVMIndex(scopeDomain)
	}
	c.domains[name] = d
	c.sortedDomains = append(c.sortedDomains, d)
	sort.Slice(c.sortedDomains, func(i, k int) bool { return c.sortedDomains[i].name < c.sortedDomains[k].name })
	return d
}

// addCapacityClass changes the number of VMs with the capacity by delta.
func (c *State) addCapacityClass(capacity resourceVec, delta int) {
	c.fleetVersion++
	for i := range c.capacityClasses {
		if c.capacityClasses[i].capacity != capacity {
			continue
		}
		c.capacityClasses[i].count += delta
		if c.capacityClasses[i].count == 0 {
			c.capacityClasses = append(c.capacityClasses[:i], c.capacityClasses[i+1:]...)
		}
		return
	}
	c.capacityClasses = append(c.capacityClasses, capacityClass{capacity: capacity, count: delta})
}

// updateTotalCapacity recomputes the capacity of the cell. VMs that are leaving
// or unreachable do not count.
func (c *State) updateTotalCapacity() {
	c.totalCapacity = resourceVec{}
	for _, v := range c.sortedVMs {
		if v.registered && v.State == VMLive {
			c.totalCapacity = c.totalCapacity.add(v.capacity)
		}
	}
	c.updateShares()
}

// indexKind returns the index kind of the VM.
func (v *vm) indexKind() int {
	if v.capacity[dimAccelerators] > 0 {
		return vmKindAccelerated
	}
	return vmKindPlain
}

// updateAvailable recomputes the available capacity of the VM and updates the
// indexes.
func (c *State) updateAvailable(v *vm) {
	old := v.available
	v.available = v.capacity.sub(v.allocated)
	if len(v.claims) > 0 {
		v.available = v.available.sub(v.claimedAvailable())
		// A trial placement must not requeue groups: two gangs with claims on
		// one VM would requeue each other endlessly.
		if !c.inTrial {
			for _, cl := range v.claims {
				c.requeueGroup(cl.job.group)
			}
		}
	}
	if v.registered && v.State != VMUnreachable && v.overfull() {
		c.overfullVMs = append(c.overfullVMs, v)
	}
	open := v.takesWork()
	if open && (!v.indexed || !v.available.fits(old)) {
		c.addFreedVM(v)
	}
	switch {
	case open && v.indexed:
		c.vmIndexes[v.indexKind()].update(v)
		v.domain.index[v.indexKind()].update(v)
	case open:
		v.indexed = true
		c.vmIndexes[v.indexKind()].insert(v)
		v.domain.index[v.indexKind()].insert(v)
	case v.indexed:
		c.removeFromIndexes(v)
	}
}

// removeFromIndexes removes the VM from the indexes.
func (c *State) removeFromIndexes(v *vm) {
	if !v.indexed {
		return
	}
	v.indexed = false
	c.vmIndexes[v.indexKind()].remove(v)
	v.domain.index[v.indexKind()].remove(v)
}

// takesWork reports whether tasks may be placed on the VM.
func (v *vm) takesWork() bool {
	return v.registered && v.State == VMLive && v.blockedUntil.IsZero() && v.oversizedTasks == 0 && (!v.probation || len(v.tasks) == 0)
}

// blockVM prevents placements on the VM until the given time.
func (c *State) blockVM(v *vm, until time.Time) {
	if !until.After(v.blockedUntil) {
		return
	}
	v.blockedUntil = until
	v.timerGeneration++
	c.addTimer(timer{at: until, kind: timerUnblockVM, vm: v, generation: v.timerGeneration})
	c.updateAvailable(v)
}

// unblockVM allows placements on the VM again.
func (c *State) unblockVM(v *vm) {
	v.blockedUntil = time.Time{}
	c.updateAvailable(v)
}

// setLeaving adds the VM to the leaving VMs or removes it from them.
func (c *State) setLeaving(v *vm, leaving bool) {
	at := sort.Search(len(c.leavingVMs), func(i int) bool { return c.leavingVMs[i].ID >= v.ID })
	listed := at < len(c.leavingVMs) && c.leavingVMs[at] == v
	switch {
	case leaving && !listed:
		c.leavingVMs = append(c.leavingVMs, nil)
		copy(c.leavingVMs[at+1:], c.leavingVMs[at:])
		c.leavingVMs[at] = v
	case !leaving && listed:
		c.leavingVMs = append(c.leavingVMs[:at], c.leavingVMs[at+1:]...)
	}
}
