package scheduler

// chooseBatch returns the VM with the tightest fit among a bounded number of
// candidates.
func (c *Cell) chooseBatch(j *job) *vm {
	s := selection{cell: c, job: j}
	for k := range c.index {
		if k == kindPlain && j.size[dimAccelerators] > 0 {
			continue
		}
		c.index[k].scan(j.size, s.visit)
		if s.best != nil {
			break
		}
	}
	return s.best
}
