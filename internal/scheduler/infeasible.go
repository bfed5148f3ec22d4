package scheduler

import (
	"sort"
	"time"
)

// findInfeasible fails jobs that the fleet or the limit of their team has not
// been able to hold for the grace time. A shorter dip does not fail them.
func (c *Cell) findInfeasible(now time.Time) {
	if c.checkedFleet == c.fleetVersion && c.unfitJobs == 0 {
		return
	}
	c.checkedFleet = c.fleetVersion
	c.unfitJobs = 0
	for _, j := range c.queuedJobs() {
		reason := c.unfit(j.team, j.Job, j.declared)
		switch {
		case reason == "":
			j.unfitAt = time.Time{}
		case j.unfitAt.IsZero():
			j.unfitAt = now
			c.unfitJobs++
		case now.Sub(j.unfitAt) >= c.policy.ShrinkGrace:
			c.fail(j, reason)
		default:
			c.unfitJobs++
		}
	}
}

// queuedJobs returns the jobs with pending tasks in order of submission.
func (c *Cell) queuedJobs() []*job {
	var list []*job
	for _, t := range c.order {
		for l := range t.queues {
			for _, g := range t.queues[l].groups {
				list = append(list, g.jobs...)
			}
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].seq < list[k].seq })
	return list
}
