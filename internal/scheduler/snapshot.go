package scheduler

import (
	"sort"

	"github.com/endivehill/endivehill/internal/api"
)

// Snapshot is a copy of the state of a worker partition, for display.
type Snapshot struct {
	Capacity api.Resources  `json:"capacity"` // of the live VMs
	Teams    []TeamSnapshot `json:"teams"`
	VMs      []VMSnapshot   `json:"vms"`
	Jobs     []JobSnapshot  `json:"jobs"`
}

// TeamSnapshot is the state of a team.
type TeamSnapshot struct {
	Name          string        `json:"name"`
	Share         float64       `json:"share"` // weighted dominant share
	Budget        api.Resources `json:"budget"`
	Allocated     api.Resources `json:"used"`
	PendingDemand api.Resources `json:"wanted"`
}

// VMSnapshot is the state of a VM.
type VMSnapshot struct {
	ID        string        `json:"id"`
	State     VMState       `json:"state"`
	TakesWork bool          `json:"open"` // accepts new tasks
	Capacity  api.Resources `json:"capacity"`
	Allocated api.Resources `json:"held"`
	Tasks     []TaskID      `json:"tasks"`
}

// JobSnapshot is the state of a job.
type JobSnapshot struct {
	ID          string `json:"id"`
	Pending     int    `json:"pending"`
	PlacedTasks int    `json:"held"`
	Unfinished  int    `json:"open"` // unfinished tasks
	Ended       bool   `json:"ended"`
}

// Snapshot returns a copy of the state, sorted by name.
func (s *State) Snapshot() Snapshot {
	out := Snapshot{Capacity: s.totalCapacity.resources()}
	for _, t := range s.sortedTeams {
		out.Teams = append(out.Teams, TeamSnapshot{
			Name: t.name, Share: t.weightedShare, Budget: t.budget.resources(),
			Allocated: t.allocated.resources(), PendingDemand: t.pendingDemand.resources(),
		})
	}
	for _, v := range s.sortedVMs {
		out.VMs = append(out.VMs, v.snapshot())
	}
	for _, j := range s.jobs {
		out.Jobs = append(out.Jobs, JobSnapshot{ID: j.ID, Pending: len(j.pending), PlacedTasks: j.placedTasks, Unfinished: j.unfinished, Ended: j.ended})
	}
	sort.Slice(out.Jobs, func(i, k int) bool { return out.Jobs[i].ID < out.Jobs[k].ID })
	return out
}

func (v *vm) snapshot() VMSnapshot {
	s := VMSnapshot{ID: v.ID, State: v.State, TakesWork: v.indexed, Capacity: v.capacity.resources(), Allocated: v.allocated.resources()}
	for _, t := range v.tasks {
		s.Tasks = append(s.Tasks, t.id)
	}
	sort.Slice(s.Tasks, func(i, k int) bool { return s.Tasks[i] < s.Tasks[k] })
	return s
}
