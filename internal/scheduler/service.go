package scheduler

// chooseSpread returns a VM for a task of a service or gang: in the failure
// domain and rack with the fewest tasks of the job, then the tightest fit.
func (c *Cell) chooseSpread(j *job) *vm {
	s := selection{cell: c, job: j, spread: true}
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
