package scheduler

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/api"
)

// eventModel records the effects of the decisions independently of State. Two
// States get the same events, so that a dependence on map order shows.
type eventModel struct {
	t             *rapid.T
	state, second *State
	now           time.Time
	held          map[TaskID]Decision
	last          map[TaskID]int // last attempt of each task
	started       map[TaskID]bool
	done          map[TaskID]bool
	jobs          map[string]Job
	ended         map[string]bool
	placed        map[string]bool
	vms           map[string]VM
	budget        map[string]api.Resources
	lastJob       int
}

func newEventModel(t *rapid.T) *eventModel {
	m := &eventModel{
		t: t, state: newState(0, "a", "b", "c"), second: newState(0, "a", "b", "c"), now: testStart,
		held: map[TaskID]Decision{}, last: map[TaskID]int{}, started: map[TaskID]bool{}, done: map[TaskID]bool{},
		jobs: map[string]Job{}, ended: map[string]bool{}, placed: map[string]bool{}, vms: map[string]VM{}, budget: map[string]api.Resources{},
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "vms") {
		m.upsert(testVM(i))
	}
	for _, team := range []string{"a", "b", "c"} {
		m.setBudget(team, size(1000, 1000, 0))
	}
	return m
}

func (m *eventModel) onBoth(f func(s *State)) { f(m.state); f(m.second) }

func (m *eventModel) upsert(v VM) {
	m.vms[v.ID] = v
	m.onBoth(func(s *State) { s.UpsertVM(v) })
}

func (m *eventModel) setBudget(team string, r api.Resources) {
	m.budget[team] = r
	m.onBoth(func(s *State) { s.SetBudget(team, r) })
}

func (m *eventModel) submit(t *rapid.T) {
	m.lastJob++
	j := testJob(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), fmt.Sprintf("j%d", m.lastJob),
		rapid.SampledFrom([]api.Class{api.ClassBatch, api.ClassService, api.ClassGang}).Draw(t, "class"),
		rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.IntRange(1, 18).Draw(t, "cores"))
	j.Urgency = rapid.SampledFrom([]api.Urgency{api.UrgencyNormal, api.UrgencyUrgent, api.UrgencyBackground}).Draw(t, "urgency")
	j.Checkpointable = rapid.Bool().Draw(t, "checkpointable")
	j.MaxAttempts = 50
	if rapid.IntRange(0, 4).Draw(t, "has deadline") == 0 {
		j.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second)
	}
	err := m.state.Submit(j, m.now)
	secondErr := m.second.Submit(j, m.now)
	if (err == nil) != (secondErr == nil) {
		t.Fatalf("submit: %v, to the second State: %v", err, secondErr)
	}
	if err == nil {
		m.jobs[j.ID] = j
	}
}

func (m *eventModel) schedule(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200_000).Draw(t, "ms")) * time.Millisecond)
	limit := rapid.IntRange(1, 40).Draw(t, "max")
	m.apply(m.state.Schedule(m.now, limit), m.second.Schedule(m.now, limit))
}

func (m *eventModel) apply(out, second []Decision) {
	if diff := cmp.Diff(out, second); diff != "" {
		m.t.Fatalf("equal events gave different decisions:\n%s", diff)
	}
	for i, d := range out {
		switch d.Kind {
		case Place:
			m.place(out, i)
		case FailJob:
			m.ended[d.Job] = true
		default:
			if h, ok := m.held[d.Task]; !ok || h.VM != d.VM || h.Attempt != d.Attempt {
				m.t.Fatalf("%+v is for an attempt that is not running", d)
			}
		}
	}
	m.checkGroups(out)
}

func (m *eventModel) place(out []Decision, i int) {
	d, j := out[i], m.jobs[out[i].Job]
	_, held := m.held[d.Task]
	switch v := m.vms[d.VM]; {
	case held:
		m.t.Fatalf("%+v: the task is held on %s", d, m.held[d.Task].VM)
	case m.done[d.Task] || m.ended[d.Job]:
		m.t.Fatalf("%+v: the task or job has ended", d)
	case d.Attempt <= m.last[d.Task]:
		m.t.Fatalf("%+v: the last attempt was %d", d, m.last[d.Task])
	case v.State != VMLive:
		m.t.Fatalf("%+v: the VM is %q", d, v.State)
	case !j.Deadline.IsZero() && m.now.After(j.Deadline) && !m.placed[d.Job]:
		m.t.Fatalf("%+v: the deadline has passed", d)
	case (j.Class == api.ClassGang) != (d.Group != ""):
		m.t.Fatalf("%+v: group of a %s", d, j.Class)
	}
	m.held[d.Task], m.last[d.Task] = d, d.Attempt
	m.placed[d.Job] = true
	if used := m.sum(func(h Decision) bool { return h.VM == d.VM }); !used.fits(toResourceVec(m.vms[d.VM].Capacity)) {
		m.t.Fatalf("%+v: the VM is over its capacity: %v", d, used)
	}
	if used := m.sum(func(h Decision) bool { return m.jobs[h.Job].Team == j.Team }); !used.fits(toResourceVec(m.budget[j.Team])) {
		m.t.Fatalf("%+v: the team is over its budget: %v", d, used)
	}
}

// sum adds the declared sizes of the held tasks that match.
func (m *eventModel) sum(match func(Decision) bool) resourceVec {
	var used resourceVec
	for _, h := range m.held {
		if match(h) {
			used = used.add(toResourceVec(m.jobs[h.Job].Resources))
		}
	}
	return used
}

// checkGroups checks that each gang was placed whole and with consecutive
// decisions.
func (m *eventModel) checkGroups(out []Decision) {
	count, lastAt := map[string]int{}, map[string]int{}
	for i, d := range out {
		if d.Group == "" || d.Kind != Place {
			continue
		}
		if n := count[d.Group]; n > 0 && lastAt[d.Group] != i-1 {
			m.t.Fatalf("group %s is not consecutive", d.Group)
		}
		count[d.Group]++
		lastAt[d.Group] = i
	}
	for group, n := range count {
		d := out[lastAt[group]]
		want := 0
		for i := range m.jobs[d.Job].Tasks {
			if !m.done[NewTaskID(d.Job, i)] {
				want++
			}
		}
		if n != want {
			m.t.Fatalf("group %s has %d tasks, want %d", group, n, want)
		}
	}
}

// drawHeld returns one of the held tasks.
func (m *eventModel) drawHeld(t *rapid.T) Decision {
	if len(m.held) == 0 {
		t.Skip("no task is held")
	}
	var ids []string
	for id := range m.held {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	return m.held[TaskID(rapid.SampledFrom(ids).Draw(t, "task"))]
}

func (m *eventModel) start(t *rapid.T) {
	d := m.drawHeld(t)
	m.started[d.Task] = true
	m.onBoth(func(s *State) { s.TaskStarted(d.Task, d.Attempt, m.now) })
}

func (m *eventModel) exit(t *rapid.T) {
	outcome := rapid.SampledFrom([]Outcome{Success, Success, Failed, Lost, Checkpointed, Stopped, Refused}).Draw(t, "outcome")
	m.exitTask(m.drawHeld(t), outcome)
}

func (m *eventModel) exitTask(d Decision, outcome Outcome) {
	delete(m.held, d.Task)
	m.done[d.Task] = outcome == Success
	m.onBoth(func(s *State) { s.TaskExited(d.Task, d.Attempt, outcome, m.now) })
}

func (m *eventModel) exitStaleAttempt(t *rapid.T) {
	d := m.drawHeld(t)
	m.onBoth(func(s *State) { s.TaskExited(d.Task, d.Attempt-1, Success, m.now) })
}

func (m *eventModel) revertPlacement(t *rapid.T) {
	d := m.drawHeld(t)
	if m.started[d.Task] {
		t.Skip("the task has started")
	}
	delete(m.held, d.Task)
	m.onBoth(func(s *State) { s.RevertPlacement(d.Task, d.Attempt) })
}

func (m *eventModel) holdUnfenced(t *rapid.T) {
	d := m.drawHeld(t)
	m.started[d.Task] = true
	m.onBoth(func(s *State) {
		if err := s.HoldUnfenced(d.Task, d.VM, time.Time{}); err != nil {
			t.Fatal(err)
		}
	})
}

func (m *eventModel) cancel(t *rapid.T) {
	if m.lastJob == 0 {
		t.Skip("no job")
	}
	n := rapid.IntRange(1, m.lastJob).Draw(t, "job")
	for _, team := range []string{"a", "b", "c"} {
		id := fmt.Sprintf("%s/j%d", team, n)
		m.ended[id] = true
		m.apply(m.state.Cancel(id, m.now), m.second.Cancel(id, m.now))
	}
}

func (m *eventModel) changeVM(t *rapid.T) {
	v := testVM(rapid.IntRange(0, 9).Draw(t, "vm"))
	if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
		m.onBoth(func(s *State) { s.RemoveVM(v.ID, m.now) })
		delete(m.vms, v.ID)
		for id, d := range m.held {
			if d.VM == v.ID {
				delete(m.held, id)
			}
		}
		return
	}
	v.State = rapid.SampledFrom([]VMState{VMLive, VMLive, VMLeaving, VMUnreachable}).Draw(t, "state")
	m.upsert(v)
}

func (m *eventModel) report(t *rapid.T) {
	d := m.drawHeld(t)
	j := m.jobs[d.Job]
	percent := rapid.IntRange(1, 300).Draw(t, "percent")
	usage := []TaskUsage{{d.Task, d.Attempt, api.Resources{
		CpuMillis: j.Resources.CpuMillis * percent / 100, MemoryMb: j.Resources.MemoryMb * percent / 100,
	}}}
	m.onBoth(func(s *State) { s.ReportUsage(d.VM, usage, m.now) })
}

func (m *eventModel) changeBudget(t *rapid.T) {
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	m.setBudget(team, size(rapid.IntRange(0, 100).Draw(t, "cores"), 100, 0))
}

// check compares the totals that the State keeps with its tasks.
func (m *eventModel) check(t *rapid.T) {
	used, wanted, releasing := map[*team]resourceVec{}, map[*team]resourceVec{}, map[*team]resourceVec{}
	for _, v := range m.state.sortedVMs {
		var held resourceVec
		for _, task := range v.tasks {
			held = held.add(task.size)
			used[task.job.team] = used[task.job.team].add(task.size)
			if task.releasing {
				releasing[task.job.team] = releasing[task.job.team].add(task.size)
			}
		}
		if held != v.allocated || !held.fits(v.capacity) || v.indexed != v.takesWork() {
			t.Fatalf("VM %s: allocated %v, sum of its tasks %v, capacity %v, indexed %v", v.ID, v.allocated, held, v.capacity, v.indexed)
		}
		if v.indexed && int(v.indexPositions[scopePartition][dimCPU].bucket) != bucketOf(v.available[dimCPU]) {
			t.Fatalf("VM %s is in the wrong bucket", v.ID)
		}
	}
	for _, j := range m.state.jobs {
		wanted[j.team] = wanted[j.team].add(j.size.times(len(j.pending)))
		if (len(j.pending) > 0) != (j.group != nil) || len(j.claims) > len(j.pending) {
			t.Fatalf("job %s: %d pending, %d claims, queued %v", j.ID, len(j.pending), len(j.claims), j.group != nil)
		}
	}
	for _, tm := range m.state.sortedTeams {
		if tm.allocated != used[tm] || tm.pendingDemand != wanted[tm] || tm.releasing != releasing[tm] {
			t.Fatalf("team %s: used %v sum %v, wanted %v sum %v, releasing %v sum %v", tm.name, tm.allocated, used[tm], tm.pendingDemand, wanted[tm], tm.releasing, releasing[tm])
		}
	}
}

// runToCompletion runs all remaining work to its end and fails if some of it
// cannot run.
func (m *eventModel) runToCompletion() {
	for i := range 10 {
		if _, ok := m.vms[testVM(i).ID]; ok || i < 4 {
			m.upsert(testVM(i))
		}
	}
	for _, team := range []string{"a", "b", "c"} {
		m.setBudget(team, size(1000, 1000, 0))
	}
	for range 2000 {
		if len(m.state.jobs) == 0 {
			return
		}
		m.now = m.now.Add(time.Second)
		m.apply(m.state.Schedule(m.now, 20), m.second.Schedule(m.now, 20))
		for _, d := range m.heldInOrder() {
			m.onBoth(func(s *State) { s.TaskStarted(d.Task, d.Attempt, m.now) })
			m.exitTask(d, Success)
		}
	}
	m.t.Fatalf("some work never finished: %+v", m.state.Snapshot())
}

func (m *eventModel) heldInOrder() []Decision {
	var list []Decision
	for _, d := range m.held {
		list = append(list, d)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Task < list[k].Task })
	return list
}

// TestRandomEvents guards against any order of events that exceeds the capacity
// of a VM or the budget of a team, places a task twice, places a gang partly,
// reuses an attempt number, or leaves work that never runs. rapid prints the
// seed of a failure.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEventModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "schedule": m.schedule, "schedule again": m.schedule, "start": m.start, "exit": m.exit,
			"stale": m.exitStaleAttempt, "unplace": m.revertPlacement, "hold": m.holdUnfenced, "cancel": m.cancel, "vm": m.changeVM,
			"report": m.report, "budget": m.changeBudget, "": m.check,
		})
		m.runToCompletion()
	})
}
