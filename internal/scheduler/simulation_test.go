package scheduler

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/fairshare"
)

const (
	simStep      = 200 * time.Millisecond
	reportEvery  = time.Second
	reportLag    = 2 * time.Second
	leaseTime    = 16 * time.Second // until a task on a VM that failed counts as lost
	outage       = 8 * time.Minute
	failuresPerH = 4.0 // VMs that fail, per hour
	badFrom      = simLength / 4
	badUntil     = simLength / 2 // between these times one VM fails every task
	badFailure   = 2 * time.Second
	memoryRamp   = 20 * time.Second // until a task uses all its memory
	faultyAfter  = 5 * time.Second
)

// simTask is a task that runs in the simulation.
type simTask struct {
	job      *simJob
	id       TaskID
	vm       *simVM
	attempt  int
	started  time.Time
	begun    time.Time     // start since which no work was lost
	left     time.Duration // work left
	done     time.Duration // work done since the last checkpoint
	throttle int           // percent of the declared processor time, 0 for none
	stopAt   time.Time     // when a stop takes effect
	outcome  Outcome       // of the stop
}

type simVM struct {
	VM
	tasks  []*simTask
	downAt time.Time // zero while it is up
}

// simulation runs a workload against a core on a fake clock.
type simulation struct {
	core    core
	w       workload
	rng     *rand.Rand
	now     time.Time
	jobs    []*simJob
	vms     []*simVM
	byID    map[string]*simVM
	tasks   map[TaskID]*simTask
	live    map[string]*simJob // jobs that may have waiting tasks
	waiting map[TaskID]bool    // tasks that have not started yet
	lost    []lostTask
	lag     []lagged
	dropped []*simTask // never started because their job failed
	result
}

type lostTask struct {
	at time.Time
	t  *simTask
}

type lagged struct {
	at    time.Time
	vm    string
	usage []TaskUsage
}

// result is what a run is judged by.
type result struct {
	firsts      map[string][]time.Duration // until the first start
	waits       map[string][]time.Duration // until the start since which no work was lost, or the end of the run
	delays      map[string][]time.Duration // from arrival to the end, less the run time needed
	onTime      int
	withTime    int
	packing     []float64
	distance    map[string][]float64
	preemptions int
	workDone    float64 // core seconds of finished tasks
	workLost    float64
	completed   int
	total       int
}

func newResult() result {
	return result{firsts: map[string][]time.Duration{}, waits: map[string][]time.Duration{}, delays: map[string][]time.Duration{}, distance: map[string][]float64{}}
}

func newSimulation(c core, w workload, jobs []*simJob, seed uint64) *simulation {
	s := &simulation{
		core: c, w: w, rng: rand.New(rand.NewPCG(seed, 2)), now: start, jobs: jobs,
		byID: map[string]*simVM{}, tasks: map[TaskID]*simTask{}, live: map[string]*simJob{}, waiting: map[TaskID]bool{},
		result: newResult(),
	}
	for i := range w.vms {
		v := testVM(i)
		v.Capacity, v.Rack = w.vm, "rack-"+string(rune('a'+i/w.perRack))
		v.FailureDomain = "fd-" + string(rune('a'+i/w.perRack%3))
		sv := &simVM{VM: v}
		s.vms = append(s.vms, sv)
		s.byID[v.ID] = sv
		c.UpsertVM(v)
	}
	for i := range w.shares {
		c.SetBudget(teamName(i), size(100_000, 1_000_000, 10_000))
	}
	return s
}

func teamName(i int) string { return "team-" + string(rune('0'+i)) }

// run runs the whole workload.
func (s *simulation) run() {
	for n := 0; s.now.Before(start.Add(simLength)); n++ {
		s.arrive()
		s.failVMs()
		s.runTasks()
		if s.now.Sub(start)%reportEvery == 0 {
			s.report()
			s.observe()
		}
		s.deliver()
		s.decide(s.core.Schedule(s.now, 200))
		s.now = s.now.Add(simStep)
	}
	for id, waiting := range s.waiting {
		if waiting {
			s.started(id) // what never started has waited until now
		}
	}
	for _, t := range s.tasks {
		s.delayed(t)
	}
	for _, t := range s.dropped {
		s.delayed(t)
	}
}

func (s *simulation) arrive() {
	for len(s.jobs) > 0 && !s.jobs[0].at.After(s.now) {
		j := s.jobs[0]
		s.jobs = s.jobs[1:]
		if s.core.Submit(j.Job, s.now) != nil {
			continue
		}
		s.live[j.ID] = j
		s.total += j.Tasks
		for i := range j.Tasks {
			t := &simTask{job: j, id: NewTaskID(j.ID, i), left: j.run}
			s.tasks[t.id] = t
			s.waiting[t.id] = true
			if !j.Deadline.IsZero() {
				s.withTime++
			}
		}
	}
}

// kind returns under what the times of the job are reported.
func (j *simJob) kind() string {
	if j.Urgency == api.UrgencyUrgent {
		return "urgent"
	}
	return string(j.Class)
}

// delayed records the wait and the delay of a task that has ended or will not.
func (s *simulation) delayed(t *simTask) {
	if j := t.job; !j.faulty {
		begun := s.now
		if !t.begun.IsZero() {
			begun = t.begun
		}
		s.waits[j.kind()] = append(s.waits[j.kind()], begun.Sub(j.at))
		s.delays[j.kind()] = append(s.delays[j.kind()], s.now.Sub(j.at)-j.run+t.left)
	}
}

// started records the waiting time of a task at its first start.
func (s *simulation) started(id TaskID) {
	if !s.waiting[id] {
		return
	}
	s.waiting[id] = false
	j := s.tasks[id].job
	s.firsts[j.kind()] = append(s.firsts[j.kind()], s.now.Sub(j.at))
	if !j.Deadline.IsZero() && !s.now.After(j.Deadline) {
		s.onTime++
	}
}

// failVMs lets VMs fail at random and come back.
func (s *simulation) failVMs() {
	if s.rng.Float64() < failuresPerH*simStep.Hours() {
		if v := s.vms[s.rng.IntN(len(s.vms))]; v.downAt.IsZero() {
			v.downAt = s.now
			s.setState(v, VMUnreachable)
			for _, t := range v.tasks {
				s.lost = append(s.lost, lostTask{s.now.Add(leaseTime), t})
				s.lose(t)
			}
			v.tasks = nil
		}
	}
	for _, v := range s.vms {
		if !v.downAt.IsZero() && s.now.Sub(v.downAt) > outage {
			v.downAt = time.Time{}
			s.setState(v, VMLive)
		}
	}
	for len(s.lost) > 0 && !s.lost[0].at.After(s.now) {
		t := s.lost[0].t
		s.lost = s.lost[1:]
		s.core.TaskExited(t.id, t.attempt, Lost, s.now)
	}
}

func (s *simulation) setState(v *simVM, state VMState) {
	v.State = state
	s.core.UpsertVM(v.VM)
}

// lose counts the work of a task since its last checkpoint as lost.
func (s *simulation) lose(t *simTask) {
	s.workLost += t.done.Seconds() * float64(t.job.Resources.CpuMillis) / 1000
	t.left += t.done
	if t.left == t.job.run {
		t.begun = time.Time{}
	}
	t.done = 0
	t.vm = nil
}

// runTasks lets the tasks on all VMs go on by one step.
func (s *simulation) runTasks() {
	for _, v := range s.vms {
		var sum vec
		for _, t := range v.tasks {
			sum = sum.add(t.usage(s.now.Sub(t.started)))
		}
		rate := 1.0
		if capacity := v.Capacity.CpuMillis; sum[dimCPU] > int64(capacity) {
			rate = float64(capacity) / float64(sum[dimCPU])
		}
		if sum[dimMemory] > int64(v.Capacity.MemoryMb) {
			s.end(v.tasks[len(v.tasks)-1], Lost) // the VM ends the last one to start; no fault of the job
		}
		for _, t := range slices.Clone(v.tasks) {
			s.step(v, t, rate)
		}
	}
}

// usage returns what the task uses now.
func (t *simTask) usage(age time.Duration) vec {
	u := t.job.actual
	ramp := min(1, float64(age+memoryRamp/4)/float64(memoryRamp))
	u[dimMemory] = int64(float64(u[dimMemory]) * ramp)
	if t.throttle > 0 {
		u[dimCPU] = min(u[dimCPU], int64(t.job.Resources.CpuMillis*t.throttle/100))
	}
	return u
}

func (s *simulation) step(v *simVM, t *simTask, rate float64) {
	rate *= float64(t.usage(s.now.Sub(t.started))[dimCPU]) / float64(max(1, t.job.actual[dimCPU]))
	progress := min(t.left, time.Duration(rate*float64(simStep)))
	t.left -= progress
	t.done += progress
	age := s.now.Sub(t.started)
	since := s.now.Sub(start)
	switch {
	case !t.stopAt.IsZero() && !s.now.Before(t.stopAt):
		s.end(t, t.outcome)
	case t.left <= 0:
		s.end(t, Success)
	case t.job.faulty && age >= faultyAfter, v == s.vms[0] && since > badFrom && since < badUntil && age >= badFailure:
		s.end(t, Failed)
	}
}

func (s *simulation) end(t *simTask, o Outcome) {
	v := t.vm
	v.tasks = slices.DeleteFunc(v.tasks, func(x *simTask) bool { return x == t })
	cores := float64(t.job.Resources.CpuMillis) / 1000
	switch o {
	case Success:
		s.workDone += t.job.run.Seconds() * cores
		s.completed++
		s.delayed(t)
		delete(s.tasks, t.id)
		t.vm = nil
	case Checkpointed:
		t.done, t.vm = 0, nil
	default:
		s.lose(t)
	}
	s.core.TaskExited(t.id, t.attempt, o, s.now)
}

// report measures the usage; it is delivered with a lag.
func (s *simulation) report() {
	for _, v := range s.vms {
		r := lagged{at: s.now.Add(reportLag), vm: v.ID}
		for _, t := range v.tasks {
			r.usage = append(r.usage, TaskUsage{t.id, t.attempt, t.usage(s.now.Sub(t.started)).resources()})
		}
		s.lag = append(s.lag, r)
	}
}

func (s *simulation) deliver() {
	for len(s.lag) > 0 && !s.lag[0].at.After(s.now) {
		s.core.Report(s.lag[0].vm, s.lag[0].usage, s.now)
		s.lag = s.lag[1:]
	}
}

// decide carries out the decisions. A task starts at once; a stop takes one
// step, a checkpoint its time.
func (s *simulation) decide(out []Decision) {
	for _, d := range out {
		t := s.tasks[d.Task]
		if t == nil && d.Kind != FailJob {
			continue // it was on a VM that failed, and its job has failed since
		}
		switch d.Kind {
		case Place:
			v := s.byID[d.VM]
			t.vm, t.attempt, t.started, t.throttle, t.stopAt = v, d.Attempt, s.now, 0, time.Time{}
			v.tasks = append(v.tasks, t)
			if t.begun.IsZero() {
				t.begun = s.now
			}
			s.started(t.id)
			s.core.TaskStarted(d.Task, d.Attempt, s.now)
		case Stop:
			t.stopAt, t.outcome = s.now.Add(simStep), Stopped
			s.preemptions++
		case Checkpoint:
			t.stopAt, t.outcome = s.now.Add(t.job.checkpoint), Checkpointed
			s.preemptions++
		case Throttle:
			if t.throttle = d.Percent; d.Percent == percentUnlimited {
				t.throttle = 0
			}
		case FailJob:
			s.drop(d.Job)
		}
	}
}

// drop forgets what has not started of a failed job.
func (s *simulation) drop(id string) {
	j := s.live[id]
	for i := range j.Tasks {
		if t := s.tasks[NewTaskID(id, i)]; t != nil && t.vm == nil {
			s.started(t.id)
			s.dropped = append(s.dropped, t)
			delete(s.tasks, t.id)
		}
	}
}

// observe measures the packing and the distance of each team from its share. A
// task counts for what it really needs or declares, whichever is more.
func (s *simulation) observe() {
	var capacity, held vec
	for _, v := range s.vms {
		if v.downAt.IsZero() {
			capacity = capacity.add(toVec(v.Capacity))
		}
	}
	used, demand := make([]vec, len(s.w.shares)), make([]vec, len(s.w.shares))
	for _, t := range s.tasks {
		team := int(t.job.Team[len(t.job.Team)-1] - '0')
		need := toVec(t.job.Resources).max(t.job.actual)
		demand[team] = demand[team].add(need)
		if t.vm != nil {
			used[team] = used[team].add(need)
		}
	}
	claims := make([]fairshare.Claim, len(used))
	var wanted vec
	for i := range used {
		claims[i] = fairshare.Claim{Weight: float64(s.w.shares[i]), Demand: demand[i].vector()}
		held, wanted = held.add(used[i]), wanted.add(demand[i])
	}
	possible := min(1, wanted.shareOf(capacity))
	if possible > 0 {
		s.packing = append(s.packing, min(1, held.shareOf(capacity)/possible))
	}
	if wanted.fits(capacity) {
		return // shares matter only when the cell is full
	}
	for i, e := range fairshare.Entitlements(capacity.vector(), claims) {
		name := teamName(i)
		d := used[i].shareOf(capacity) - e
		s.distance[name] = append(s.distance[name], max(d, -d))
	}
}

func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, k int) bool { return list[i] < list[k] })
	return list[min(len(list)-1, int(q*float64(len(list))))].Seconds()
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(max(1, len(list)))
}

// shareDistance returns the mean over the teams and that of the worst team.
func (r *result) shareDistance() (average, worst float64) {
	for _, list := range r.distance {
		average += mean(list) / float64(len(r.distance))
		worst = max(worst, mean(list))
	}
	return average, worst
}
