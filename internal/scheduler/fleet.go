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
func (s *State) UpsertVM(in VM) {
	v, ok := s.vms[in.ID]
	if !ok {
		v = s.addVM(in.ID)
	}
	if v.registered {
		s.addCapacityClass(v.capacity, -1)
	}
	s.removeFromIndexes(v)
	if v.domain != nil && v.domain.name != in.FailureDomain {
		v.domain = nil
	}
	v.VM = in
	v.registered = true
	v.capacity = toResourceVec(in.Capacity)
	v.domain = s.ensureDomain(in.FailureDomain)
	s.addCapacityClass(v.capacity, 1)
	s.setLeaving(v, in.State == VMLeaving)
	s.updateAvailable(v)
	s.updateTotalCapacity()
}

// RemoveVM removes a VM that no longer exists. Its tasks count as lost.
func (s *State) RemoveVM(id string, now time.Time) {
	v, ok := s.vms[id]
	if !ok {
		return
	}
	v.State = VMUnreachable // keeps the VM out of the indexes while its tasks are removed
	s.removeFromIndexes(v)
	s.dropReservationOf(v)
	for len(v.claims) > 0 {
		s.expireClaim(v.claims[0])
	}
	s.setLeaving(v, false)
	for len(v.tasks) > 0 {
		t := v.tasks[len(v.tasks)-1]
		s.handleExit(t, OutcomeLost, now)
	}
	if v.registered {
		s.addCapacityClass(v.capacity, -1)
	}
	delete(s.vms, id)
	s.sortedVMs = removeSorted(s.sortedVMs, id, byID)
	s.updateTotalCapacity()
}

// addVM adds a VM whose attributes are not known yet.
func (s *State) addVM(id string) *vm {
	v := &vm{VM: VM{ID: id, State: VMUnreachable}}
	s.vms[id] = v
	s.sortedVMs = insertSorted(s.sortedVMs, v, id, byID)
	return v
}

// ensureDomain returns the failure domain with the name and adds it if it does
// not exist.
func (s *State) ensureDomain(name string) *domain {
	if d, ok := s.domains[name]; ok {
		return d
	}
	d := &domain{name: name}
	for k := range d.indexes {
		d.indexes[k] = newVMIndex(scopeDomain)
	}
	s.domains[name] = d
	s.sortedDomains = append(s.sortedDomains, d)
	sort.Slice(s.sortedDomains, func(i, k int) bool { return s.sortedDomains[i].name < s.sortedDomains[k].name })
	return d
}

// addCapacityClass changes the number of VMs with the capacity by delta.
func (s *State) addCapacityClass(capacity resourceVec, delta int) {
	s.fleetVersion++
	for i := range s.capacityClasses {
		if s.capacityClasses[i].capacity != capacity {
			continue
		}
		s.capacityClasses[i].count += delta
		if s.capacityClasses[i].count == 0 {
			s.capacityClasses = append(s.capacityClasses[:i], s.capacityClasses[i+1:]...)
		}
		return
	}
	s.capacityClasses = append(s.capacityClasses, capacityClass{capacity: capacity, count: delta})
}

// updateTotalCapacity recomputes the capacity of the partition. VMs that are
// leaving or unreachable do not count.
func (s *State) updateTotalCapacity() {
	s.totalCapacity = resourceVec{}
	for _, v := range s.sortedVMs {
		if v.registered && v.State == VMLive {
			s.totalCapacity = s.totalCapacity.add(v.capacity)
		}
	}
	s.updateShares()
}

// kind returns the kind of the VM, which determines its indexes.
func (v *vm) kind() int {
	if v.capacity[dimAccelerators] > 0 {
		return vmKindAccelerated
	}
	return vmKindPlain
}

// updateAvailable recomputes the available capacity of the VM and updates the
// indexes.
func (s *State) updateAvailable(v *vm) {
	old := v.available
	v.available = v.capacity.sub(v.allocated)
	if len(v.claims) > 0 {
		v.available = v.available.sub(v.claimedAvailable())
		// A trial placement must not requeue groups: two gangs with claims on
		// one VM would requeue each other endlessly.
		if !s.inTrial {
			for _, cl := range v.claims {
				s.requeueGroup(cl.job.group)
			}
		}
	}
	if v.registered && v.State != VMUnreachable && v.overfull() {
		s.overfullVMs = append(s.overfullVMs, v)
	}
	accepting := v.takesWork()
	if accepting && (!v.indexed || !v.available.fits(old)) {
		s.addFreedVM(v)
	}
	switch {
	case accepting && v.indexed:
		s.vmIndexes[v.kind()].update(v)
		v.domain.indexes[v.kind()].update(v)
	case accepting:
		v.indexed = true
		s.vmIndexes[v.kind()].insert(v)
		v.domain.indexes[v.kind()].insert(v)
	case v.indexed:
		s.removeFromIndexes(v)
	}
}

// removeFromIndexes removes the VM from the indexes.
func (s *State) removeFromIndexes(v *vm) {
	if !v.indexed {
		return
	}
	v.indexed = false
	s.vmIndexes[v.kind()].remove(v)
	v.domain.indexes[v.kind()].remove(v)
}

// takesWork reports whether tasks may be placed on the VM.
func (v *vm) takesWork() bool {
	return v.registered && v.State == VMLive && v.blockedUntil.IsZero() && v.oversizedTasks == 0 && (!v.probation || len(v.tasks) == 0)
}

// blockVM prevents placements on the VM until the given time.
func (s *State) blockVM(v *vm, until time.Time) {
	if !until.After(v.blockedUntil) {
		return
	}
	v.blockedUntil = until
	v.timerGeneration++
	s.addTimer(timer{at: until, kind: timerUnblockVM, vm: v, generation: v.timerGeneration})
	s.updateAvailable(v)
}

// unblockVM allows placements on the VM again.
func (s *State) unblockVM(v *vm) {
	v.blockedUntil = time.Time{}
	s.updateAvailable(v)
}

// setLeaving adds the VM to the leaving VMs or removes it from them.
func (s *State) setLeaving(v *vm, leaving bool) {
	if leaving {
		s.leavingVMs = insertSorted(s.leavingVMs, v, v.ID, byID)
		return
	}
	s.leavingVMs = removeSorted(s.leavingVMs, v.ID, byID)
}
