package scheduler

const (
	// failedVMScore ranks VMs on which the job has failed after all others.
	failedVMScore = 1000.0
	// sameRackScore and sameVMScore are added for each task of the job in the
	// same rack and on the same VM. The capacity left on the VM adds at most 1.
	sameRackScore = 2.0
	sameVMScore   = 4.0
	// extendedSearchFactor multiplies the number of candidates while the job has
	// failed on the best one or, for a task that must be spread, while the best
	// one is in a rack with another task of the job.
	extendedSearchFactor = 4
)

// vmSelector finds the best VM for a task of a job.
type vmSelector struct {
	state           *State
	job             *job
	spread          bool
	skippedReserved bool // a VM had enough capacity but is reserved for other work
	scored          int
	best            *vm
	bestScore       float64
}

// visit scores one VM and reports whether more candidates are needed.
func (s *vmSelector) visit(v *vm) bool {
	if !s.job.size.fits(v.available) {
		return true
	}
	if v.reservation != nil && !s.state.mayBackfill(s.job, v) {
		s.skippedReserved = true
		return true
	}
	score := placementScore(s.job, v, s.spread)
	if s.best == nil || score < s.bestScore {
		s.best, s.bestScore = v, score
	}
	s.scored++
	limit := s.state.policy.Candidates
	if s.bestScore >= failedVMScore || (s.spread && s.bestScore >= sameRackScore) {
		limit *= extendedSearchFactor
	}
	return s.scored < limit
}

// placementScore returns the score of the VM for the job; lower is better.
func placementScore(j *job, v *vm, spread bool) float64 {
	score := v.available.sub(j.size).dominantShareOf(v.capacity)
	if spread {
		score += sameRackScore*float64(j.tasksInRack(v)) + sameVMScore*float64(j.spread.vms[v])
	}
	for _, id := range j.failedVMs {
		if id == v.ID {
			score += failedVMScore
		}
	}
	return score
}
