package scheduler

// chooseTightest returns the VM with the tightest fit among a bounded number of
// candidates. VMs with accelerators are considered last for tasks that need
// none.
func (s *State) chooseTightest(j *job) *vm {
	for k := range s.vmIndexes {
		if k == vmKindPlain && j.size[dimAccelerators] > 0 {
			continue
		}
		selector := vmSelector{state: s, job: j}
		s.vmIndexes[k].scan(j.size, selector.visit)
		s.pass.skippedReserved = s.pass.skippedReserved || selector.skippedReserved
		if selector.best != nil {
			return selector.best
		}
	}
	return nil
}
