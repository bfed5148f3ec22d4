package scheduler

// chooseTightest returns the VM with the tightest fit among a bounded number of
// candidates. VMs with accelerators are considered last for tasks that need
// none.
func (c *State) chooseTightest(j *job) *vm {
	for k := range c.vmIndexes {
		if k == vmKindPlain && j.size[dimAccelerators] > 0 {
			continue
		}
		s := vmSelector{state: c, job: j}
		c.vmIndexes[k].scan(j.size, s.visit)
		c.pass.skippedReserved = c.pass.skippedReserved || s.skippedReserved
		if s.best != nil {
			return s.best
		}
	}
	return nil
}
