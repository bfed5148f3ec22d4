package scheduler

const (
	// avoidScore puts a VM on which the job has failed behind all others.
	avoidScore = 1000.0
	// rackScore and vmScore count for each task of the job in the rack and on the
	// VM; the fit counts for at most 1.
	rackScore = 2.0
	vmScore   = 4.0
	// spreadFactor is how many times the candidates of other work are scored when
	// a task must be spread, until a rack without a task of the job is found.
	spreadFactor = 4
)

// selection collects the best VM for a task of a job.
type selection struct {
	cell    *Cell
	job     *job
	spread  bool
	refused bool // a VM had room but is reserved for other work
	seen    int
	best    *vm
	score   float64
}

// visit scores one VM and reports whether further ones are wanted.
func (s *selection) visit(v *vm) bool {
	if !s.job.size.fits(v.avail) {
		return true
	}
	if v.reservation != nil && !s.cell.backfills(s.job, v) {
		s.refused = true
		return true
	}
	score := rank(s.job, v, s.spread)
	if s.best == nil || score < s.score {
		s.best, s.score = v, score
	}
	s.seen++
	limit := s.cell.policy.Candidates
	if s.score >= avoidScore || (s.spread && s.score >= rackScore) {
		limit *= spreadFactor
	}
	return s.seen < limit
}

// rank returns how good the VM is for the job; lower is better.
func rank(j *job, v *vm, spread bool) float64 {
	score := v.avail.sub(j.size).shareOf(v.capacity)
	if spread {
		score += rackScore*float64(j.onRack(v)) + vmScore*float64(j.spread.vms[v])
	}
	for _, id := range j.badVMs {
		if id == v.ID {
			score += avoidScore
		}
	}
	return score
}
