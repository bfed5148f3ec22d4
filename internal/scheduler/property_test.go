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
// States get the same events, so that decisions that depend on the order of map
// iteration differ.
type eventModel struct {
	t             *rapid.T
	state, second *State
	now           time.Time
	held          map[TaskID]Decision
	lastAttempt   map[TaskID]int // last attempt of each task
	startedTasks  map[TaskID]bool
	doneTasks     map[TaskID]bool
	jobs          map[string]Job
	endedJobs     map[string]bool
	placedJobs    map[string]bool
	vms           map[string]VM
	budget        map[string]api.Resources
	lastJob       int
}

func newEventModel(t *rapid.T) *eventModel {
	m := &eventModel{
		t: t, state: newState(0, "a", "b", "c"), second: newState(0, "a", "b", "c"), now: testStart,
		held: map[TaskID]Decision{}, lastAttempt: map[TaskID]int{}, startedTasks: map[TaskID]bool{}, doneTasks: map[TaskID]bool{},
		jobs: map[string]Job{}, endedJobs: map[string]bool{}, placedJobs: map[string]bool{}, vms: map[string]VM{}, budget: map[string]api.Resources{},
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "vms") {
		m.upsertVM(testVM(i))
	}
	for _, team := range []string{"a", "b", "c"} {
		m.setBudget(team, resources(1000, 1000, 0))
	}
	return m
}

func (m *eventModel) onBoth(f func(s *State)) { f(m.state); f(m.second) }

func (m *eventModel) upsertVM(v VM) {
	m.vms[v.ID] = v
	m.onBoth(func(s *State) { s.UpsertVM(v) })
}

func (m *eventModel) setBudget(team string, r api.Resources) {
	m.budget[team] = r
	m.onBoth(func(s *State) { s.SetBudget(team, r) })
}

func (m *eventModel) submitJob(t *rapid.T) {
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
	m.applyDecisions(m.state.Schedule(m.now, limit), m.second.Schedule(m.now, limit))
}

func (m *eventModel) applyDecisions(out, second []Decision) {
	if diff := cmp.Diff(out, second); diff != "" {
		m.t.Fatalf("equal events gave different decisions:\n%s", diff)
	}
	for i, d := range out {
		switch d.Kind {
		case DecisionPlace:
			m.placeTask(out, i)
		case DecisionFailJob:
			m.endedJobs[d.Job] = true
		default:
			if h, ok := m.held[d.Task]; !ok || h.VM != d.VM || h.Attempt != d.Attempt {
				m.t.Fatalf("%+v is for an attempt that is not running", d)
			}
		}
	}
	m.checkGroups(out)
}

func (m *eventModel) placeTask(out []Decision, i int) {
	d, j := out[i], m.jobs[out[i].Job]
	_, held := m.held[d.Task]
	switch v := m.vms[d.VM]; {
	case held:
		m.t.Fatalf("%+v: the task is already placed on %s", d, m.held[d.Task].VM)
	case m.doneTasks[d.Task] || m.endedJobs[d.Job]:
		m.t.Fatalf("%+v: the task or job has ended", d)
	case d.Attempt <= m.lastAttempt[d.Task]:
		m.t.Fatalf("%+v: the last attempt was %d", d, m.lastAttempt[d.Task])
	case v.State != VMLive:
		m.t.Fatalf("%+v: the state of the VM is %q", d, v.State)
	case !j.Deadline.IsZero() && m.now.After(j.Deadline) && !m.placedJobs[d.Job]:
		m.t.Fatalf("%+v: the deadline has passed", d)
	case (j.Class == api.ClassGang) != (d.Group != ""):
		m.t.Fatalf("%+v: a decision for a %s must have a group exactly if it is a gang", d, j.Class)
	}
	m.held[d.Task], m.lastAttempt[d.Task] = d, d.Attempt
	m.placedJobs[d.Job] = true
	if used := m.sumDeclared(func(h Decision) bool { return h.VM == d.VM }); !used.fits(toResourceVec(m.vms[d.VM].Capacity)) {
		m.t.Fatalf("%+v: the VM is over its capacity: %v", d, used)
	}
	if used := m.sumDeclared(func(h Decision) bool { return m.jobs[h.Job].Team == j.Team }); !used.fits(toResourceVec(m.budget[j.Team])) {
		m.t.Fatalf("%+v: the team is over its budget: %v", d, used)
	}
}

// sumDeclared adds the declared sizes of the held tasks that match.
func (m *eventModel) sumDeclared(match func(Decision) bool) resourceVec {
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
		if d.Group == "" || d.Kind != DecisionPlace {
			continue
		}
		if n := count[d.Group]; n > 0 && lastAt[d.Group] != i-1 {
			m.t.Fatalf("the decisions of group %s are not consecutive", d.Group)
		}
		count[d.Group]++
		lastAt[d.Group] = i
	}
	for group, n := range count {
		d := out[lastAt[group]]
		want := 0
		for i := range m.jobs[d.Job].Tasks {
			if !m.doneTasks[NewTaskID(d.Job, i)] {
				want++
			}
		}
		if n != want {
			m.t.Fatalf("group %s has %d tasks, want the %d unfinished ones", group, n, want)
		}
	}
}

// drawHeld returns the last DecisionPlace of one of the held tasks.
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

func (m *eventModel) startTask(t *rapid.T) {
	d := m.drawHeld(t)
	m.startedTasks[d.Task] = true
	m.onBoth(func(s *State) { s.TaskStarted(d.Task, d.Attempt, m.now) })
}

func (m *eventModel) exitRandomTask(t *rapid.T) {
	outcome := rapid.SampledFrom([]Outcome{OutcomeSuccess, OutcomeSuccess, OutcomeFailed, OutcomeLost, OutcomeCheckpointed, OutcomeStopped, OutcomeRefused}).Draw(t, "outcome")
	m.exitTask(m.drawHeld(t), outcome)
}

func (m *eventModel) exitTask(d Decision, outcome Outcome) {
	delete(m.held, d.Task)
	m.doneTasks[d.Task] = outcome == OutcomeSuccess
	m.onBoth(func(s *State) { s.TaskExited(d.Task, d.Attempt, outcome, m.now) })
}

func (m *eventModel) exitStaleAttempt(t *rapid.T) {
	d := m.drawHeld(t)
	m.onBoth(func(s *State) { s.TaskExited(d.Task, d.Attempt-1, OutcomeSuccess, m.now) })
}

func (m *eventModel) revertPlacement(t *rapid.T) {
	d := m.drawHeld(t)
	if m.startedTasks[d.Task] {
		t.Skip("the task has started")
	}
	delete(m.held, d.Task)
	m.onBoth(func(s *State) { s.RevertPlacement(d.Task, d.Attempt) })
}

func (m *eventModel) holdUnfenced(t *rapid.T) {
	d := m.drawHeld(t)
	m.startedTasks[d.Task] = true
	m.onBoth(func(s *State) {
		if err := s.HoldUnfenced(d.Task, d.VM, time.Time{}); err != nil {
			t.Fatal(err)
		}
	})
}

func (m *eventModel) cancelJob(t *rapid.T) {
	if m.lastJob == 0 {
		t.Skip("no job")
	}
	n := rapid.IntRange(1, m.lastJob).Draw(t, "job")
	for _, team := range []string{"a", "b", "c"} {
		id := fmt.Sprintf("%s/j%d", team, n)
		m.endedJobs[id] = true
		m.applyDecisions(m.state.Cancel(id, m.now), m.second.Cancel(id, m.now))
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
	m.upsertVM(v)
}

func (m *eventModel) reportUsage(t *rapid.T) {
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
	m.setBudget(team, resources(rapid.IntRange(0, 100).Draw(t, "cores"), 100, 0))
}

// checkTotals compares the totals that the State keeps with its tasks.
func (m *eventModel) checkTotals(t *rapid.T) {
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
			t.Fatalf("VM %s is in the wrong bucket of the CPU index", v.ID)
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
			m.upsertVM(testVM(i))
		}
	}
	for _, team := range []string{"a", "b", "c"} {
		m.setBudget(team, resources(1000, 1000, 0))
	}
	for range 2000 {
		if len(m.state.jobs) == 0 {
			return
		}
		m.now = m.now.Add(time.Second)
		m.applyDecisions(m.state.Schedule(m.now, 20), m.second.Schedule(m.now, 20))
		for _, d := range m.heldInOrder() {
			m.onBoth(func(s *State) { s.TaskStarted(d.Task, d.Attempt, m.now) })
			m.exitTask(d, OutcomeSuccess)
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
			"submit": m.submitJob, "schedule": m.schedule, "schedule again": m.schedule, "start": m.startTask, "exit": m.exitRandomTask,
			"stale": m.exitStaleAttempt, "unplace": m.revertPlacement, "hold": m.holdUnfenced, "cancel": m.cancelJob, "vm": m.changeVM,
			"report": m.reportUsage, "budget": m.changeBudget, "": m.checkTotals,
		})
		m.runToCompletion()
	})
}
