package scheduler

// selection collects the best VM for a task of a job.
type selection struct {
	cell   *Cell
	job    *job
	spread bool
	seen   int
	best   *vm
	score  float64
}

// visit scores one VM and reports whether further ones are wanted.
func (s *selection) visit(v *vm) bool {
	if !s.job.size.fits(v.avail) {
		return true
	}
	score := s.cell.rank(s.job, v)
	if s.best == nil || score < s.score {
		s.best, s.score = v, score
	}
	s.seen++
	return s.seen < s.cell.policy.Candidates
}

// avoidScore puts a VM on which the job has failed behind all others.
const avoidScore = 100

// rank returns how good the VM is for the job; lower is better.
func (c *Cell) rank(j *job, v *vm) float64 {
	score := v.avail.sub(j.size).shareOf(v.capacity)
	for _, id := range j.badVMs {
		if id == v.ID {
			score += avoidScore
		}
	}
	return score
}
