package dev

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
)

// amounts is an integral of resources over time, in units times seconds.
type amounts struct{ cpu, memory, accelerators, slots float64 }

func (a *amounts) add(r api.Resources, d time.Duration) {
	s := d.Seconds()
	a.cpu += float64(r.CpuMillis) * s
	a.memory += float64(r.MemoryMb) * s
	a.accelerators += float64(r.Accelerators) * s
	a.slots += float64(r.Slots) * s
}

// fractionOf returns a relative to whole, by resource; 0 where whole is 0.
func (a amounts) fractionOf(whole amounts) amounts {
	part := func(x, y float64) float64 {
		if y == 0 {
			return 0
		}
		return x / y
	}
	return amounts{part(a.cpu, whole.cpu), part(a.memory, whole.memory), part(a.accelerators, whole.accelerators), part(a.slots, whole.slots)}
}

func (a amounts) dominant() float64 { return max(a.cpu, a.memory, a.accelerators, a.slots) }

// usage is what truly ran, from the records of the stand-ins.
type usage struct {
	capacity amounts
	total    amounts
	teams    map[string]*amounts
}

// open is a task or request that runs.
type open struct {
	at   time.Duration
	team string
	size api.Resources
}

// measureUsage integrates over the records from the first start to end.
func measureUsage(records []history.Record, end time.Duration) usage {
	u := usage{teams: map[string]*amounts{}}
	running := map[string]open{}
	first := end
	finish := func(id string, at time.Duration) {
		o, ok := running[id]
		if !ok {
			return
		}
		delete(running, id)
		u.count(o, at)
	}
	for _, r := range records {
		switch r.Kind {
		case history.TaskStart:
			running[taskRun(r)] = open{r.At, r.Team, r.Resources}
			first = min(first, r.At)
		case history.RequestStart:
			running[requestRun(r)] = open{r.At, r.Team, api.Resources{Slots: 1}}
			first = min(first, r.At)
		case history.TaskStop:
			finish(taskRun(r), r.At)
		case history.RequestEnd:
			finish(requestRun(r), r.At)
		}
	}
	for _, o := range running {
		u.count(o, end)
	}
	for _, r := range records {
		if r.Kind == history.VMCapacity {
			u.capacity.add(r.Resources, end-first)
		}
	}
	return u
}

func taskRun(r history.Record) string { return fmt.Sprintf("%s %s %d", r.VM, r.Task, r.Attempt) }

func requestRun(r history.Record) string { return fmt.Sprintf("%s run %d", r.VM, r.Run) }

func (u *usage) count(o open, end time.Duration) {
	team, ok := u.teams[o.team]
	if !ok {
		team = &amounts{}
		u.teams[o.team] = team
	}
	team.add(o.size, end-o.at)
	u.total.add(o.size, end-o.at)
}

// write prints share against use by team, and the packing of the cell.
func (u *usage) write(w io.Writer, teams []api.Team) error {
	shares, uses := 0, 0.0
	for _, t := range teams {
		shares += t.Share
		uses += u.of(t.Name).dominant()
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tshare %\tpart of all use %\tcpu %\tmemory %\taccelerators %\tslots %\t")
	for _, t := range teams {
		a := u.of(t.Name)
		part := 0.0
		if uses > 0 {
			part = a.dominant() / uses
		}
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", t.Name, 100*float64(t.Share)/float64(shares), 100*part,
			100*a.cpu, 100*a.memory, 100*a.accelerators, 100*a.slots)
	}
	cell := u.total.fractionOf(u.capacity)
	fmt.Fprintf(table, "packing\t\t\t%.1f\t%.1f\t%.1f\t%.1f\t\n", 100*cell.cpu, 100*cell.memory, 100*cell.accelerators, 100*cell.slots)
	return table.Flush()
}

func (u *usage) of(team string) amounts {
	if a, ok := u.teams[team]; ok {
		return a.fractionOf(u.capacity)
	}
	return amounts{}
}
