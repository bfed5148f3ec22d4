package scheduler

import (
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// firstFit is the baseline scheduler of the benchmarks. It tries tasks in order
// of arrival and places each on the first VM, by ID, with enough capacity for
// its declared size. It respects budgets and places gangs whole. It does not
// preempt, learn or reserve. Tasks that do not fit are skipped, which makes it
// a stronger baseline than a queue blocked by its first task.
type firstFit struct {
	vms    []*firstFitVM
	vmByID map[string]*firstFitVM
	budget map[string]resourceVec
	used   map[string]resourceVec
	queue  []*firstFitTask // in order of arrival
	tasks  map[TaskID]*firstFitTask
	gangs  map[string][]*firstFitTask
}

type firstFitVM struct {
	id   string
	free resourceVec
	live bool
}

type firstFitTask struct {
	id       TaskID
	job      Job
	size     resourceVec
	vm       *firstFitVM
	attempt  int
	failures int
	done     bool
	queued   bool
}

func newFirstFit() *firstFit {
	return &firstFit{vmByID: map[string]*firstFitVM{}, budget: map[string]resourceVec{}, used: map[string]resourceVec{}, tasks: map[TaskID]*firstFitTask{}, gangs: map[string][]*firstFitTask{}}
}

func (f *firstFit) SetBudget(team string, r api.Resources) { f.budget[team] = toResourceVec(r) }

func (f *firstFit) UpsertVM(v VM) {
	known, ok := f.vmByID[v.ID]
	if !ok {
		known = &firstFitVM{id: v.ID, free: toResourceVec(v.Capacity)}
		f.vmByID[v.ID] = known
		f.vms = append(f.vms, known)
		sort.Slice(f.vms, func(i, k int) bool { return f.vms[i].id < f.vms[k].id })
	}
	known.live = v.State == VMLive
}

func (f *firstFit) Submit(j Job, _ time.Time) error {
	for i := range j.Tasks {
		t := &firstFitTask{id: NewTaskID(j.ID, i), job: j, size: toResourceVec(j.Resources)}
		f.tasks[t.id] = t
		if j.Class == api.ClassGang {
			f.gangs[j.ID] = append(f.gangs[j.ID], t)
		}
		f.push(t)
	}
	return nil
}

func (f *firstFit) push(t *firstFitTask) {
	t.queued = true
	f.queue = append(f.queue, t)
}

func (f *firstFit) TaskStarted(TaskID, int, time.Time)         {}
func (f *firstFit) ReportUsage(string, []TaskUsage, time.Time) {}
func (f *firstFit) find(id TaskID, attempt int) (*firstFitTask, bool) {
	t, ok := f.tasks[id]
	return t, ok && t.vm != nil && t.attempt == attempt
}

func (f *firstFit) TaskExited(id TaskID, attempt int, o Outcome, _ time.Time) {
	t, ok := f.find(id, attempt)
	if !ok {
		return
	}
	t.vm.free = t.vm.free.add(t.size)
	f.used[t.job.Team] = f.used[t.job.Team].sub(t.size)
	t.vm = nil
	if o == OutcomeFailed {
		t.failures++
	}
	if t.done = o == OutcomeSuccess || t.failures >= DefaultPolicy().DefaultMaxAttempts; !t.done {
		f.push(t)
	}
}

func (f *firstFit) Schedule(now time.Time, limit int) []Decision {
	var out []Decision
	rest := f.queue[:0]
	unplaceable := map[string]bool{} // jobs with a task that did not fit in this pass
	for i, t := range f.queue {
		if len(out) >= limit {
			rest = append(rest, f.queue[i:]...)
			break
		}
		if !t.queued {
			continue
		}
		if !t.job.Deadline.IsZero() && now.After(t.job.Deadline) && t.attempt == 0 {
			t.queued, t.done = false, true
			continue
		}
		if unplaceable[t.job.ID] {
			rest = append(rest, t)
			continue
		}
		placed := f.place(t)
		if placed == nil {
			unplaceable[t.job.ID] = true
			rest = append(rest, t)
		}
		out = append(out, placed...)
	}
	f.queue = rest
	return out
}

// place places the task or, if it belongs to a gang, all waiting tasks of the
// gang.
func (f *firstFit) place(t *firstFitTask) []Decision {
	unit := []*firstFitTask{t}
	if t.job.Class == api.ClassGang {
		unit = unit[:0]
		for _, m := range f.gangs[t.job.ID] {
			if m.vm != nil {
				return nil
			}
			if !m.done {
				unit = append(unit, m)
			}
		}
	}
	var out []Decision
	for _, m := range unit {
		d, ok := f.placeOne(m)
		if !ok {
			for i := range out {
				f.unplace(f.tasks[out[i].Task])
			}
			return nil
		}
		out = append(out, d)
	}
	return out
}

func (f *firstFit) placeOne(t *firstFitTask) (Decision, bool) {
	used := f.used[t.job.Team].add(t.size)
	if !used.fits(f.budget[t.job.Team]) {
		return Decision{}, false
	}
	for _, v := range f.vms {
		if v.live && t.size.fits(v.free) {
			v.free = v.free.sub(t.size)
			f.used[t.job.Team] = used
			t.vm, t.queued = v, false
			t.attempt++
			return Decision{Kind: DecisionPlace, Task: t.id, Job: t.job.ID, VM: v.id, Attempt: t.attempt}, true
		}
	}
	return Decision{}, false
}

func (f *firstFit) unplace(t *firstFitTask) {
	t.vm.free = t.vm.free.add(t.size)
	f.used[t.job.Team] = f.used[t.job.Team].sub(t.size)
	t.vm, t.queued = nil, true
}
