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

// requestResources are the resources of one running request.
var requestResources = api.Resources{Slots: 1}

func addResources(a, b api.Resources) api.Resources {
	a.Accelerators += b.Accelerators
	a.CpuMillis += b.CpuMillis
	a.MemoryMb += b.MemoryMb
	a.Slots += b.Slots
	return a
}

func subtractResources(a, b api.Resources) api.Resources {
	a.Accelerators -= b.Accelerators
	a.CpuMillis -= b.CpuMillis
	a.MemoryMb -= b.MemoryMb
	a.Slots -= b.Slots
	return a
}

func maxResources(a, b api.Resources) api.Resources {
	a.Accelerators = max(a.Accelerators, b.Accelerators)
	a.CpuMillis = max(a.CpuMillis, b.CpuMillis)
	a.MemoryMb = max(a.MemoryMb, b.MemoryMb)
	a.Slots = max(a.Slots, b.Slots)
	return a
}

// describeExcess lists the resources whose use exceeds the allowed amount, or
// returns "".
func describeExcess(used, allowed api.Resources) string {
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

// runningWork is a running task or request.
type runningWork struct {
	vm, team  string
	resources api.Resources
}

// usageTracker holds the running work, the open connections and the resources in
// use as of the last applied record.
type usageTracker struct {
	running     map[string]runningWork
	connections map[string]int // by VM
	usedOnVM    map[string]api.Resources
	usedByTeam  map[string]api.Resources
}

func newUsageTracker() *usageTracker {
	return &usageTracker{
		running:     map[string]runningWork{},
		connections: map[string]int{},
		usedOnVM:    map[string]api.Resources{},
		usedByTeam:  map[string]api.Resources{},
	}
}

func workKey(rec history.Record) string {
	if rec.Kind == history.RequestStart || rec.Kind == history.RequestEnd {
		return fmt.Sprintf("run %d", rec.Run)
	}
	return fmt.Sprintf("task %s attempt %d on %s", rec.Task, rec.Attempt, rec.VM)
}

func (t *usageTracker) apply(rec history.Record) {
	switch rec.Kind {
	case history.TaskStart:
		t.addWork(workKey(rec), runningWork{rec.VM, rec.Team, rec.Resources})
	case history.RequestStart:
		t.addWork(workKey(rec), runningWork{rec.VM, rec.Team, requestResources})
	case history.TaskStop, history.RequestEnd:
		t.removeWork(workKey(rec))
	case history.ConnOpen:
		t.connections[rec.VM]++
	case history.ConnClose:
		t.connections[rec.VM] = max(0, t.connections[rec.VM]-1)
	case history.VMGone:
		for key, w := range t.running {
			if w.vm == rec.VM {
				t.removeWork(key)
			}
		}
		delete(t.connections, rec.VM)
	}
}

func (t *usageTracker) addWork(key string, w runningWork) {
	if _, ok := t.running[key]; ok {
		return // reported by checkSinglePlacement
	}
	t.running[key] = w
	t.usedOnVM[w.vm] = addResources(t.usedOnVM[w.vm], w.resources)
	t.usedByTeam[w.team] = addResources(t.usedByTeam[w.team], w.resources)
}

func (t *usageTracker) removeWork(key string) {
	w, ok := t.running[key]
	if !ok {
		return
	}
	delete(t.running, key)
	t.usedOnVM[w.vm] = subtractResources(t.usedOnVM[w.vm], w.resources)
	t.usedByTeam[w.team] = subtractResources(t.usedByTeam[w.team], w.resources)
}

// checkCapacity checks guarantee 1.
func (e *evaluation) checkCapacity() {
	tracker := newUsageTracker()
	capacities := map[string]history.Record{}
	for _, rec := range e.records {
		if rec.Kind == history.VMCapacity {
			capacities[rec.VM] = rec
		}
		tracker.apply(rec)
		vm, known := capacities[rec.VM]
		switch rec.Kind {
		case history.TaskStart, history.RequestStart:
			if !known {
				e.addViolation(Capacity, rec, "work started on VM %q, whose capacity was not recorded", rec.VM)
			} else if over := describeExcess(tracker.usedOnVM[rec.VM], vm.Resources); over != "" {
				e.addViolation(Capacity, rec, "VM %q is overcommitted: %s", rec.VM, over)
			}
		case history.ConnOpen:
			if known && tracker.connections[rec.VM] > vm.Connections {
				e.addViolation(Capacity, rec, "VM %q has %d connections, allowed are %d", rec.VM, tracker.connections[rec.VM], vm.Connections)
			}
		}
	}
}

// checkSinglePlacement checks guarantee 2.
func (e *evaluation) checkSinglePlacement() {
	running := map[string][]history.Record{} // by task
	for _, rec := range e.records {
		switch rec.Kind {
		case history.TaskStart:
			for _, other := range running[rec.Task] {
				e.addViolation(SinglePlacement, rec, "task %q attempt %d started on VM %q while attempt %d runs on VM %q",
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

// checkLeavingVMs checks guarantee 8.
func (e *evaluation) checkLeavingVMs() {
	leavingSince := map[string]time.Duration{}
	for _, rec := range e.records {
		switch rec.Kind {
		case history.VMLeaving:
			if _, ok := leavingSince[rec.VM]; !ok {
				leavingSince[rec.VM] = rec.At
			}
		case history.VMLive:
			delete(leavingSince, rec.VM)
		case history.TaskStart, history.RequestStart:
			if since, ok := leavingSince[rec.VM]; ok && rec.At > since+e.options.LeaveGrace {
				e.addViolation(LeavingVM, rec, "work started on VM %q %v after the VM began to leave", rec.VM, rec.At-since)
			}
		}
	}
}

// checkTeamLimits checks guarantee 4. A limit is in force from AcceptDelay before
// its acceptance was recorded until LimitGrace after it was replaced.
func (e *evaluation) checkTeamLimits() {
	tracker := newUsageTracker()
	limits := e.teamLimits()
	overLimit := map[string]bool{}
	checkTeam := func(team string, rec history.Record) {
		if len(limits[team]) == 0 {
			return
		}
		exceeded := describeExcess(tracker.usedByTeam[team], e.limitInForce(limits[team], rec.At))
		if exceeded != "" && !overLimit[team] {
			e.addViolation(TeamLimits, rec, "team %q exceeds its limit: %s", team, exceeded)
		}
		overLimit[team] = exceeded != ""
	}
	var last history.Record
	for _, rec := range e.records {
		checkTeam(rec.Team, rec) // the work that ran until this record
		tracker.apply(rec)
		checkTeam(rec.Team, rec)
		last = rec
	}
	for team := range limits {
		checkTeam(team, last)
	}
}

func (e *evaluation) teamLimits() map[string][]history.Record {
	limits := map[string][]history.Record{}
	for _, rec := range e.records {
		if rec.Kind == history.TeamLimit {
			limits[rec.Team] = append(limits[rec.Team], rec)
		}
	}
	return limits
}

// limitInForce returns, for each resource, the highest amount that a limit in force at
// the time allows.
func (e *evaluation) limitInForce(limits []history.Record, at time.Duration) api.Resources {
	var allowed api.Resources
	for i, l := range limits {
		ended := i+1 < len(limits) && limits[i+1].At+e.options.LimitGrace < at
		if !ended && l.At-e.options.AcceptDelay <= at {
			allowed = maxResources(allowed, l.Resources)
		}
	}
	return allowed
}
