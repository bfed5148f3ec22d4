package dev

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
)

// resourceSeconds holds resources integrated over time, in resource units times
// seconds.
type resourceSeconds struct{ cpu, memory, accelerators, slots float64 }

func (a *resourceSeconds) add(r api.Resources, d time.Duration) {
	s := d.Seconds()
	a.cpu += float64(r.CpuMillis) * s
	a.memory += float64(r.MemoryMb) * s
	a.accelerators += float64(r.Accelerators) * s
	a.slots += float64(r.Slots) * s
}

// fractionOf returns a divided by whole for each resource, and 0 where whole is 0.
func (a resourceSeconds) fractionOf(whole resourceSeconds) resourceSeconds {
	part := func(x, y float64) float64 {
		if y == 0 {
			return 0
		}
		return x / y
	}
	return resourceSeconds{part(a.cpu, whole.cpu), part(a.memory, whole.memory), part(a.accelerators, whole.accelerators), part(a.slots, whole.slots)}
}

func (a resourceSeconds) dominantShare() float64 {
	return max(a.cpu, a.memory, a.accelerators, a.slots)
}

// usage is the resource usage according to the records of the stand-ins. A running task
// uses its declared resources, a running request one slot.
type usage struct {
	capacity resourceSeconds
	total    resourceSeconds
	teams    map[string]*resourceSeconds
}

// runningWork is a running task or request.
type runningWork struct {
	start     time.Duration
	team      string
	resources api.Resources
}

// measureUsage integrates the usage from the first recorded start to end.
func measureUsage(records []history.Record, end time.Duration) usage {
	u := usage{teams: map[string]*resourceSeconds{}}
	running := map[string]runningWork{}
	start := end
	finish := func(id string, at time.Duration) {
		work, ok := running[id]
		if !ok {
			return
		}
		delete(running, id)
		u.addWork(work, at)
	}
	for _, r := range records {
		switch r.Kind {
		case history.TaskStart:
			running[taskKey(r)] = runningWork{r.At, r.Team, r.Resources}
			start = min(start, r.At)
		case history.RequestStart:
			running[requestKey(r)] = runningWork{r.At, r.Team, api.Resources{Slots: 1}}
			start = min(start, r.At)
		case history.TaskStop:
			finish(taskKey(r), r.At)
		case history.RequestEnd:
			finish(requestKey(r), r.At)
		}
	}
	for _, work := range running {
		u.addWork(work, end)
	}
	for _, r := range records {
		if r.Kind == history.VMCapacity {
			u.capacity.add(r.Resources, end-start)
		}
	}
	return u
}

func taskKey(r history.Record) string { return fmt.Sprintf("%s %s %d", r.VM, r.Task, r.Attempt) }

func requestKey(r history.Record) string { return fmt.Sprintf("%s run %d", r.VM, r.Run) }

func (u *usage) addWork(work runningWork, end time.Duration) {
	team, ok := u.teams[work.team]
	if !ok {
		team = &resourceSeconds{}
		u.teams[work.team] = team
	}
	team.add(work.resources, end-work.start)
	u.total.add(work.resources, end-work.start)
}

// write writes the configured share and the usage of each team, and the utilization
// of the cell.
func (u *usage) write(w io.Writer, teams []api.Team) error {
	shares, uses := 0, 0.0
	for _, t := range teams {
		shares += t.Share
		uses += u.teamShare(t.Name).dominantShare()
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tshare %\tpart of all use %\tcpu %\tmemory %\taccelerators %\tslots %\t")
	for _, t := range teams {
		a := u.teamShare(t.Name)
		fraction := 0.0
		if uses > 0 {
			fraction = a.dominantShare() / uses
		}
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", t.Name, 100*float64(t.Share)/float64(shares), 100*fraction,
			100*a.cpu, 100*a.memory, 100*a.accelerators, 100*a.slots)
	}
	cell := u.total.fractionOf(u.capacity)
	fmt.Fprintf(table, "packing\t\t\t%.1f\t%.1f\t%.1f\t%.1f\t\n", 100*cell.cpu, 100*cell.memory, 100*cell.accelerators, 100*cell.slots)
	return table.Flush()
}

func (u *usage) teamShare(team string) resourceSeconds {
	if a, ok := u.teams[team]; ok {
		return a.fractionOf(u.capacity)
	}
	return resourceSeconds{}
}
