package scheduler

import (
	"sort"
	"time"
)

// failInfeasibleJobs fails jobs that have exceeded the capacity of the fleet or
// the limit of their team for the grace time. A temporary loss of capacity does
// not fail them.
func (s *State) failInfeasibleJobs(now time.Time) {
	if s.feasibilityVersion == s.fleetVersion && s.infeasibleJobs == 0 {
		return
	}
	s.feasibilityVersion = s.fleetVersion
	s.infeasibleJobs = 0
	for _, j := range s.queuedJobs() {
		reason := s.infeasibleReason(j.team, j.Job, j.declared)
		switch {
		case reason == "":
			j.infeasibleSince = time.Time{}
		case j.infeasibleSince.IsZero():
			j.infeasibleSince = now
			s.infeasibleJobs++
		case now.Sub(j.infeasibleSince) >= s.policy.InfeasibleGrace:
			s.failJob(j, reason)
		default:
			s.infeasibleJobs++
		}
	}
}

// resetInfeasible begins the grace time of a job that enters the queue. If the job is
// infeasible, the next pass checks all queued jobs: the last check, which covered only
// the jobs queued then, may have been for the present fleet.
func (s *State) resetInfeasible(j *job) {
	j.infeasibleSince = time.Time{}
	if s.infeasibleReason(j.team, j.Job, j.declared) != "" {
		s.infeasibleJobs++
	}
}

// queuedJobs returns the jobs with pending tasks in order of submission.
func (s *State) queuedJobs() []*job {
	var list []*job
	for _, t := range s.sortedTeams {
		for prio := range t.queues {
			for _, g := range t.queues[prio].groups {
				list = append(list, g.jobs...)
			}
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].seq < list[k].seq })
	return list
}
