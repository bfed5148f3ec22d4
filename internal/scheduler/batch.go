package scheduler

// chooseBatch returns the VM with the tightest fit among a bounded number of
// candidates, one without accelerators if the task needs none.
func (c *Cell) chooseBatch(j *job) *vm {
	for k := range c.index {
		if k == kindPlain && j.size[dimAccelerators] > 0 {
			continue
		}
		s := selection{cell: c, job: j}
		c.index[k].scan(j.size, s.visit)
		c.pass.refused = c.pass.refused || s.refused
		if s.best != nil {
			return s.best
		}
	}
	return nil
}
