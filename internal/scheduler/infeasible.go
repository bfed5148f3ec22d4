package scheduler

import (
	"sort"
	"time"
)

// failInfeasibleJobs fails jobs that have exceeded the capacity of the fleet or
// the limit of their team for the grace time. A shorter shortage does not fail
// them.
func (c *State) failInfeasibleJobs(now time.Time) {
	if c.feasibilityVersion == c.fleetVersion && c.infeasibleJobs == 0 {
		return
	}
	c.feasibilityVersion = c.fleetVersion
	c.infeasibleJobs = 0
	for _, j := range c.queuedJobs() {
		reason := c.infeasibleReason(j.team, j.Job, j.declared)
		switch {
		case reason == "":
			j.infeasibleSince = time.Time{}
		case j.infeasibleSince.IsZero():
			j.infeasibleSince = now
			c.infeasibleJobs++
		case now.Sub(j.infeasibleSince) >= c.policy.InfeasibleGrace:
			c.failJob(j, reason)
		default:
			c.infeasibleJobs++
		}
	}
}

// queuedJobs returns the jobs with pending tasks in order of submission.
func (c *State) queuedJobs() []*job {
	var list []*job
	for _, t := range c.sortedTeams {
		for prio := range t.queues {
			for _, g := range t.queues[prio].groups {
				list = append(list, g.jobs...)
			}
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].seq < list[k].seq })
	return list
}
