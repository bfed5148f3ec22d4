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

// spread counts the tasks of a job by where they are held.
type spread struct {
	domains map[*domain]int
	racks   map[rackKey]int
	vms     map[*vm]int
}

// change adds delta to the counts of the VM.
func (s *spread) change(v *vm, at rackKey, delta int) {
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

// rackOf returns where the VM is.
func (v *vm) rackOf() rackKey { return rackKey{v.domain, v.Rack} }

// onRack returns the number of tasks of the job in the rack of the VM.
func (j *job) onRack(v *vm) int { return j.spread.racks[v.rackOf()] }

// domainChoice is a failure domain with what decides its order.
type domainChoice struct {
	domain *domain
	tasks  int
	room   int // VMs that may have room
}

// chooseSpread returns a VM for a task of a service or gang: in the failure
// domain with the fewest tasks of the job, there in the rack with the fewest,
// and there with the tightest fit.
func (c *Cell) chooseSpread(j *job) *vm {
	for k := range c.index {
		if k == kindPlain && j.size[dimAccelerators] > 0 {
			continue
		}
		for _, choice := range c.domainsFor(j, k) {
			s := selection{cell: c, job: j, spread: true}
			choice.domain.index[k].scan(j.size, s.visit)
			c.pass.refused = c.pass.refused || s.refused
			if s.best != nil {
				return s.best
			}
		}
	}
	return nil
}

// domainsFor returns the failure domains that may have room, the one with the
// fewest tasks of the job first, then the one with the most room.
func (c *Cell) domainsFor(j *job, kind int) []domainChoice {
	list := c.pass.domains[:0]
	for _, d := range c.domainOrder {
		if _, room := d.index[kind].tightest(j.size); room > 0 {
			list = append(list, domainChoice{domain: d, tasks: j.spread.domains[d], room: room})
		}
	}
	slices.SortStableFunc(list, func(a, b domainChoice) int {
		return cmp.Or(cmp.Compare(a.tasks, b.tasks), cmp.Compare(b.room, a.room))
	})
	c.pass.domains = list
	return list
}
