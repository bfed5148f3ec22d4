package scheduler

import (
	"cmp"
	"slices"
)

// rackKey identifies a rack within its failure domain.
type rackKey struct {
	domain *domain
	rack   string
}

// taskSpread counts the placed tasks of a job by failure domain, rack and VM.
type taskSpread struct {
	domains map[*domain]int
	racks   map[rackKey]int
	vms     map[*vm]int
}

// adjust adds delta to the counts of the VM.
func (s *taskSpread) adjust(v *vm, at rackKey, delta int) {
	if s.domains == nil {
		s.domains = map[*domain]int{}
		s.racks = map[rackKey]int{}
		s.vms = map[*vm]int{}
	}
	s.domains[at.domain] += delta
	s.racks[at] += delta
	s.vms[v] += delta
	if s.vms[v] == 0 {
		delete(s.vms, v)
	}
}

// rackKey returns the rack of the VM.
func (v *vm) rackKey() rackKey { return rackKey{v.domain, v.Rack} }

// tasksInRack returns the number of tasks of the job in the rack of the VM.
func (j *job) tasksInRack(v *vm) int { return j.spread.racks[v.rackKey()] }

// domainCandidate is a failure domain with its sort keys.
type domainCandidate struct {
	domain  *domain
	tasks   int
	vmCount int // VMs that may have enough capacity
}

// chooseSpread returns a VM for a task of a service or gang: in the failure
// domain with the fewest tasks of the job, there the candidate with the best
// score, which is lower the fewer tasks of the job its rack and the VM itself
// have and the tighter the fit is.
func (s *State) chooseSpread(j *job) *vm {
	for k := range s.vmIndexes {
		if k == vmKindPlain && j.size[dimAccelerators] > 0 {
			continue
		}
		for _, choice := range s.rankedDomains(j, k) {
			selector := vmSelector{state: s, job: j, spread: true}
			choice.domain.indexes[k].scan(j.size, selector.visit)
			s.pass.skippedReserved = s.pass.skippedReserved || selector.skippedReserved
			if selector.best != nil {
				return selector.best
			}
		}
	}
	return nil
}

// rankedDomains returns the failure domains that may have enough capacity,
// sorted by the fewest tasks of the job, then by the most VMs with capacity.
func (s *State) rankedDomains(j *job, kind int) []domainCandidate {
	list := s.pass.domains[:0]
	for _, d := range s.sortedDomains {
		if _, vmCount := d.indexes[kind].scarcestDim(j.size); vmCount > 0 {
			list = append(list, domainCandidate{domain: d, tasks: j.spread.domains[d], vmCount: vmCount})
		}
	}
	slices.SortStableFunc(list, func(a, b domainCandidate) int {
		return cmp.Or(cmp.Compare(a.tasks, b.tasks), cmp.Compare(b.vmCount, a.vmCount))
	})
	s.pass.domains = list
	return list
}
