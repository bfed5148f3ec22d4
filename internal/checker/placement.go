package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/history"
)

// jobOfTask returns the job ID in a task ID of the form team/job/index.
func jobOfTask(task string) string {
	_, rest, _ := strings.Cut(task, "/")
	job, _, _ := strings.Cut(rest, "/")
	return job
}

// slot is the resources of one running request.
var slot = api.Resources{Slots: 1}

func plus(a, b api.Resources) api.Resources {
	a.Accelerators += b.Accelerators
	a.CpuMillis += b.CpuMillis
	a.MemoryMb += b.MemoryMb
	a.Slots += b.Slots
	return a
}

func minus(a, b api.Resources) api.Resources {
	a.Accelerators -= b.Accelerators
	a.CpuMillis -= b.CpuMillis
	a.MemoryMb -= b.MemoryMb
	a.Slots -= b.Slots
	return a
}

func most(a, b api.Resources) api.Resources {
	a.Accelerators = max(a.Accelerators, b.Accelerators)
	a.CpuMillis = max(a.CpuMillis, b.CpuMillis)
	a.MemoryMb = max(a.MemoryMb, b.MemoryMb)
	a.Slots = max(a.Slots, b.Slots)
	return a
}

// excess names the resources of which used is more than allowed.
func excess(used, allowed api.Resources) string {
	var parts []string
	add := func(name string, used, allowed int) {
		if used > allowed {
			parts = append(parts, fmt.Sprintf("%s %d of %d", name, used, allowed))
		}
	}
	add("cpu_millis", used.CpuMillis, allowed.CpuMillis)
	add("memory_mb", used.MemoryMb, allowed.MemoryMb)
	add("accelerators", used.Accelerators, allowed.Accelerators)
	add("slots", used.Slots, allowed.Slots)
	return strings.Join(parts, ", ")
}

// work is a running task or request.
type work struct {
	vm, team string
	size     api.Resources
}

// active follows what runs at a time.
type active struct {
	work  map[string]work
	conns map[string]int // by VM
	vms   map[string]api.Resources
	teams map[string]api.Resources
}

func newActive() *active {
	return &active{
		work:  map[string]work{},
		conns: map[string]int{},
		vms:   map[string]api.Resources{},
		teams: map[string]api.Resources{},
	}
}

func workName(rec history.Record) string {
	if rec.Kind == history.RequestStart || rec.Kind == history.RequestEnd {
		return fmt.Sprintf("run %d", rec.Run)
	}
	return fmt.Sprintf("task %s attempt %d on %s", rec.Task, rec.Attempt, rec.VM)
}

// apply takes a record into account.
func (a *active) apply(rec history.Record) {
	switch rec.Kind {
	case history.TaskStart:
		a.begin(workName(rec), work{rec.VM, rec.Team, rec.Resources})
	case history.RequestStart:
		a.begin(workName(rec), work{rec.VM, rec.Team, slot})
	case history.TaskStop, history.RequestEnd:
		a.end(workName(rec))
	case history.ConnOpen:
		a.conns[rec.VM]++
	case history.ConnClose:
		a.conns[rec.VM] = max(0, a.conns[rec.VM]-1)
	case history.VMGone:
		for name, w := range a.work {
			if w.vm == rec.VM {
				a.end(name)
			}
		}
		delete(a.conns, rec.VM)
	}
}

func (a *active) begin(name string, w work) {
	if _, ok := a.work[name]; ok {
		return // judged by singlePlace
	}
	a.work[name] = w
	a.vms[w.vm] = plus(a.vms[w.vm], w.size)
	a.teams[w.team] = plus(a.teams[w.team], w.size)
}

func (a *active) end(name string) {
	w, ok := a.work[name]
	if !ok {
		return
	}
	delete(a.work, name)
	a.vms[w.vm] = minus(a.vms[w.vm], w.size)
	a.teams[w.team] = minus(a.teams[w.team], w.size)
}

// capacity checks guarantee 1.
func (c *check) capacity() {
	a := newActive()
	holds := map[string]history.Record{}
	for _, rec := range c.records {
		if rec.Kind == history.VMCapacity {
			holds[rec.VM] = rec
		}
		a.apply(rec)
		vm, known := holds[rec.VM]
		switch rec.Kind {
		case history.TaskStart, history.RequestStart:
			if !known {
				c.report(Capacity, rec, "work started on VM %q, whose capacity is not known", rec.VM)
			} else if over := excess(a.vms[rec.VM], vm.Resources); over != "" {
				c.report(Capacity, rec, "VM %q holds %s", rec.VM, over)
			}
		case history.ConnOpen:
			if known && a.conns[rec.VM] > vm.Connections {
				c.report(Capacity, rec, "VM %q has %d connections of %d", rec.VM, a.conns[rec.VM], vm.Connections)
			}
		}
	}
}

// singlePlace checks guarantee 2.
func (c *check) singlePlace() {
	running := map[string][]history.Record{} // by task
	for _, rec := range c.records {
		switch rec.Kind {
		case history.TaskStart:
			for _, other := range running[rec.Task] {
				c.report(SinglePlace, rec, "task %q attempt %d started on VM %q while attempt %d runs on VM %q",
					rec.Task, rec.Attempt, rec.VM, other.Attempt, other.VM)
			}
			running[rec.Task] = append(running[rec.Task], rec)
		case history.TaskStop:
			running[rec.Task] = slices.DeleteFunc(running[rec.Task], func(r history.Record) bool {
				return r.VM == rec.VM && r.Attempt == rec.Attempt
			})
		case history.VMGone:
			for task := range running {
				running[task] = slices.DeleteFunc(running[task], func(r history.Record) bool { return r.VM == rec.VM })
			}
		}
	}
}

// leaving checks guarantee 8.
func (c *check) leaving() {
	since := map[string]time.Duration{}
	for _, rec := range c.records {
		switch rec.Kind {
		case history.VMLeaving:
			if _, ok := since[rec.VM]; !ok {
				since[rec.VM] = rec.At
			}
		case history.VMLive:
			delete(since, rec.VM)
		case history.TaskStart, history.RequestStart:
			if left, ok := since[rec.VM]; ok && rec.At > left+c.options.LeaveGrace {
				c.report(Leaving, rec, "VM %q got work %v after it began to leave", rec.VM, rec.At-left)
			}
		}
	}
}

// limits checks guarantee 4. A limit counts until LimitGrace after it was
// replaced, and from AcceptDelay before its acceptance was recorded.
func (c *check) limits() {
	a := newActive()
	limits := c.teamLimits()
	over := map[string]bool{}
	judge := func(team string, rec history.Record) {
		if len(limits[team]) == 0 {
			return
		}
		text := excess(a.teams[team], c.limitAt(limits[team], rec.At))
		if text != "" && !over[team] {
			c.report(Limits, rec, "team %q runs %s", team, text)
		}
		over[team] = text != ""
	}
	var last history.Record
	for _, rec := range c.records {
		judge(rec.Team, rec) // what ran until now
		a.apply(rec)
		judge(rec.Team, rec)
		last = rec
	}
	for team := range limits {
		judge(team, last)
	}
}

func (c *check) teamLimits() map[string][]history.Record {
	limits := map[string][]history.Record{}
	for _, rec := range c.records {
		if rec.Kind == history.TeamLimit {
			limits[rec.Team] = append(limits[rec.Team], rec)
		}
	}
	return limits
}

func (c *check) limitAt(limits []history.Record, at time.Duration) api.Resources {
	var allowed api.Resources
	for i, l := range limits {
		ended := i+1 < len(limits) && limits[i+1].At+c.options.LimitGrace < at
		if !ended && l.At-c.options.AcceptDelay <= at {
			allowed = most(allowed, l.Resources)
		}
	}
	return allowed
}
