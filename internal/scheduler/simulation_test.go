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
	simStep            = 200 * time.Millisecond
	reportInterval     = time.Second
	reportDelay        = 2 * time.Second
	leaseTime          = 16 * time.Second // time after a VM failure until its tasks count as lost
	vmOutage           = 8 * time.Minute
	vmFailuresPerHour  = 4.0
	faultyVMFrom       = simLength / 4 // from this time, one VM fails every task
	faultyVMUntil      = simLength / 2
	faultyVMFailAfter  = 2 * time.Second
	memoryRamp         = 20 * time.Second // time until a task uses all its memory
	faultyJobFailAfter = 5 * time.Second
)

// simTask is a simulated task.
type simTask struct {
	job                *simJob
	id                 TaskID
	vm                 *simVM
	attempt            int
	started            time.Time
	uninterruptedStart time.Time     // start of the first attempt since which no work was lost
	remaining          time.Duration // work left
	done               time.Duration // work done since the last checkpoint
	throttle           int           // percent of the declared processor time, 0 for none
	stopAt             time.Time     // when the requested stop takes effect
	outcome            Outcome       // of the requested stop
}

type simVM struct {
	VM
	tasks  []*simTask
	downAt time.Time // zero while the VM is up
}

// simulation runs a workload against a scheduler with simulated time.
type simulation struct {
	scheduler    schedulerCore
	workload     workload
	rng          *rand.Rand
	now          time.Time
	jobs         []*simJob
	vms          []*simVM
	vmByID       map[string]*simVM
	tasks        map[TaskID]*simTask
	submitted    map[string]*simJob // jobs that may have waiting tasks
	neverStarted map[TaskID]bool    // tasks that have not started yet
	losses       []pendingLoss
	reports      []delayedReport
	dropped      []*simTask // occupied no VM when their job failed
	result
}

type pendingLoss struct {
	at   time.Time
	task *simTask
}

type delayedReport struct {
	at    time.Time
	vm    string
	usage []TaskUsage
}

// result holds the measurements of a simulation.
type result struct {
	firstStarts    map[string][]time.Duration // from arrival to the first start
	waits          map[string][]time.Duration // from arrival to the start since which no work was lost, or to the end of the run
	delays         map[string][]time.Duration // from arrival to the end, minus the run time
	onTime         int
	withDeadline   int
	packing        []float64
	shareDistances map[string][]float64
	preemptions    int
	workDone       float64 // core seconds of finished tasks
	workLost       float64
	completed      int
	total          int
}

func newResult() result {
	return result{firstStarts: map[string][]time.Duration{}, waits: map[string][]time.Duration{}, delays: map[string][]time.Duration{}, shareDistances: map[string][]float64{}}
}

func newSimulation(core schedulerCore, w workload, jobs []*simJob, seed uint64) *simulation {
	s := &simulation{
		scheduler: core, workload: w, rng: rand.New(rand.NewPCG(seed, 2)), now: testStart, jobs: jobs,
		vmByID: map[string]*simVM{}, tasks: map[TaskID]*simTask{}, submitted: map[string]*simJob{}, neverStarted: map[TaskID]bool{},
		result: newResult(),
	}
	for i := range w.vms {
		v := testVM(i)
		v.Capacity, v.Rack = w.vm, "rack-"+string(rune('a'+i/w.perRack))
		v.FailureDomain = "fd-" + string(rune('a'+i/w.perRack%3))
		sv := &simVM{VM: v}
		s.vms = append(s.vms, sv)
		s.vmByID[v.ID] = sv
		core.UpsertVM(v)
	}
	for i := range w.shares {
		core.SetBudget(teamName(i), resources(100_000, 1_000_000, 10_000))
	}
	return s
}

func teamName(i int) string { return "team-" + string(rune('0'+i)) }

// run simulates the whole workload.
func (s *simulation) run() {
	for n := 0; s.now.Before(testStart.Add(simLength)); n++ {
		s.submitArrivals()
		s.failVMs()
		s.runTasks()
		if s.now.Sub(testStart)%reportInterval == 0 {
			s.measureUsage()
			s.recordPackingAndShares()
		}
		s.deliverReports()
		s.applyDecisions(s.scheduler.Schedule(s.now, 200))
		s.now = s.now.Add(simStep)
	}
	for id, waiting := range s.neverStarted {
		if waiting {
			s.recordFirstStart(id) // tasks that never started have waited until now
		}
	}
	for _, t := range s.tasks {
		s.recordDelay(t)
	}
	for _, t := range s.dropped {
		s.recordDelay(t)
	}
}

func (s *simulation) submitArrivals() {
	for len(s.jobs) > 0 && !s.jobs[0].at.After(s.now) {
		j := s.jobs[0]
		s.jobs = s.jobs[1:]
		if s.scheduler.Submit(j.Job, s.now) != nil {
			continue
		}
		s.submitted[j.ID] = j
		s.total += j.Tasks
		for i := range j.Tasks {
			t := &simTask{job: j, id: NewTaskID(j.ID, i), remaining: j.run}
			s.tasks[t.id] = t
			s.neverStarted[t.id] = true
			if !j.Deadline.IsZero() {
				s.withDeadline++
			}
		}
	}
}

// metricClass returns the class under which the times of the job are reported.
func (j *simJob) metricClass() string {
	if j.Urgency == api.UrgencyUrgent {
		return "urgent"
	}
	return string(j.Class)
}

// recordDelay records the wait and the delay of a task that has ended or will
// not run.
func (s *simulation) recordDelay(t *simTask) {
	if j := t.job; !j.faulty {
		lastStart := s.now
		if !t.uninterruptedStart.IsZero() {
			lastStart = t.uninterruptedStart
		}
		s.waits[j.metricClass()] = append(s.waits[j.metricClass()], lastStart.Sub(j.at))
		s.delays[j.metricClass()] = append(s.delays[j.metricClass()], s.now.Sub(j.at)-j.run+t.remaining)
	}
}

// recordFirstStart records the waiting time of a task at its first start.
func (s *simulation) recordFirstStart(id TaskID) {
	if !s.neverStarted[id] {
		return
	}
	s.neverStarted[id] = false
	j := s.tasks[id].job
	s.firstStarts[j.metricClass()] = append(s.firstStarts[j.metricClass()], s.now.Sub(j.at))
	if !j.Deadline.IsZero() && !s.now.After(j.Deadline) {
		s.onTime++
	}
}

// failVMs makes VMs fail at random and recover after vmOutage.
func (s *simulation) failVMs() {
	if s.rng.Float64() < vmFailuresPerHour*simStep.Hours() {
		if v := s.vms[s.rng.IntN(len(s.vms))]; v.downAt.IsZero() {
			v.downAt = s.now
			s.setState(v, VMUnreachable)
			for _, t := range v.tasks {
				s.losses = append(s.losses, pendingLoss{s.now.Add(leaseTime), t})
				s.discardProgress(t)
			}
			v.tasks = nil
		}
	}
	for _, v := range s.vms {
		if !v.downAt.IsZero() && s.now.Sub(v.downAt) > vmOutage {
			v.downAt = time.Time{}
			s.setState(v, VMLive)
		}
	}
	for len(s.losses) > 0 && !s.losses[0].at.After(s.now) {
		t := s.losses[0].task
		s.losses = s.losses[1:]
		s.scheduler.TaskExited(t.id, t.attempt, OutcomeLost, s.now)
	}
}

func (s *simulation) setState(v *simVM, state VMState) {
	v.State = state
	s.scheduler.UpsertVM(v.VM)
}

// discardProgress counts the work of a task since its last checkpoint as lost.
func (s *simulation) discardProgress(t *simTask) {
	s.workLost += t.done.Seconds() * float64(t.job.Resources.CpuMillis) / 1000
	t.remaining += t.done
	if t.remaining == t.job.run {
		t.uninterruptedStart = time.Time{}
	}
	t.done = 0
	t.vm = nil
}

// runTasks advances the tasks on all VMs by one step.
func (s *simulation) runTasks() {
	for _, v := range s.vms {
		var sum resourceVec
		for _, t := range v.tasks {
			sum = sum.add(t.usage(s.now.Sub(t.started)))
		}
		rate := 1.0
		if capacity := v.Capacity.CpuMillis; sum[dimCPU] > int64(capacity) {
			rate = float64(capacity) / float64(sum[dimCPU])
		}
		if sum[dimMemory] > int64(v.Capacity.MemoryMb) {
			s.endTask(v.tasks[len(v.tasks)-1], OutcomeLost) // out of memory: the VM ends the last task; not counted as a failure of the job
		}
		for _, t := range slices.Clone(v.tasks) {
			s.advanceTask(v, t, rate)
		}
	}
}

// usage returns the resources that the task uses at the given age.
func (t *simTask) usage(age time.Duration) resourceVec {
	u := t.job.actual
	ramp := min(1, float64(age+memoryRamp/4)/float64(memoryRamp))
	u[dimMemory] = int64(float64(u[dimMemory]) * ramp)
	if t.throttle > 0 {
		u[dimCPU] = min(u[dimCPU], int64(t.job.Resources.CpuMillis*t.throttle/100))
	}
	return u
}

func (s *simulation) advanceTask(v *simVM, t *simTask, rate float64) {
	rate *= float64(t.usage(s.now.Sub(t.started))[dimCPU]) / float64(max(1, t.job.actual[dimCPU]))
	progress := min(t.remaining, time.Duration(rate*float64(simStep)))
	t.remaining -= progress
	t.done += progress
	age := s.now.Sub(t.started)
	since := s.now.Sub(testStart)
	switch {
	case !t.stopAt.IsZero() && !s.now.Before(t.stopAt):
		s.endTask(t, t.outcome)
	case t.remaining <= 0:
		s.endTask(t, OutcomeSuccess)
	case t.job.faulty && age >= faultyJobFailAfter, v == s.vms[0] && since > faultyVMFrom && since < faultyVMUntil && age >= faultyVMFailAfter:
		s.endTask(t, OutcomeFailed)
	}
}

func (s *simulation) endTask(t *simTask, o Outcome) {
	v := t.vm
	v.tasks = slices.DeleteFunc(v.tasks, func(x *simTask) bool { return x == t })
	cores := float64(t.job.Resources.CpuMillis) / 1000
	switch o {
	case OutcomeSuccess:
		s.workDone += t.job.run.Seconds() * cores
		s.completed++
		s.recordDelay(t)
		delete(s.tasks, t.id)
		t.vm = nil
	case OutcomeCheckpointed:
		t.done, t.vm = 0, nil
	default:
		s.discardProgress(t)
	}
	s.scheduler.TaskExited(t.id, t.attempt, o, s.now)
}

// measureUsage measures the usage, which is delivered after reportDelay.
func (s *simulation) measureUsage() {
	for _, v := range s.vms {
		r := delayedReport{at: s.now.Add(reportDelay), vm: v.ID}
		for _, t := range v.tasks {
			r.usage = append(r.usage, TaskUsage{t.id, t.attempt, t.usage(s.now.Sub(t.started)).resources()})
		}
		s.reports = append(s.reports, r)
	}
}

func (s *simulation) deliverReports() {
	for len(s.reports) > 0 && !s.reports[0].at.After(s.now) {
		s.scheduler.ReportUsage(s.reports[0].vm, s.reports[0].usage, s.now)
		s.reports = s.reports[1:]
	}
}

// applyDecisions carries out the decisions. A task starts at once. A stop takes one
// step, a checkpoint its own time.
func (s *simulation) applyDecisions(out []Decision) {
	for _, d := range out {
		t := s.tasks[d.Task]
		if t == nil && d.Kind != DecisionFailJob {
			continue // the task was on a failed VM, and its job has failed since
		}
		switch d.Kind {
		case DecisionPlace:
			v := s.vmByID[d.VM]
			t.vm, t.attempt, t.started, t.throttle, t.stopAt = v, d.Attempt, s.now, 0, time.Time{}
			v.tasks = append(v.tasks, t)
			if t.uninterruptedStart.IsZero() {
				t.uninterruptedStart = s.now
			}
			s.recordFirstStart(t.id)
			s.scheduler.TaskStarted(d.Task, d.Attempt, s.now)
		case DecisionStop:
			t.stopAt, t.outcome = s.now.Add(simStep), OutcomeStopped
			s.preemptions++
		case DecisionCheckpoint:
			t.stopAt, t.outcome = s.now.Add(t.job.checkpoint), OutcomeCheckpointed
			s.preemptions++
		case DecisionThrottle:
			if t.throttle = d.Percent; d.Percent == percentUnthrottled {
				t.throttle = 0
			}
		case DecisionFailJob:
			s.dropJob(d.Job)
		}
	}
}

// dropJob removes the tasks of a failed job that occupy no VM.
func (s *simulation) dropJob(id string) {
	j := s.submitted[id]
	for i := range j.Tasks {
		if t := s.tasks[NewTaskID(id, i)]; t != nil && t.vm == nil {
			s.recordFirstStart(t.id)
			s.dropped = append(s.dropped, t)
			delete(s.tasks, t.id)
		}
	}
}

// recordPackingAndShares measures the packing, which is the used part of the
// capacity that the demand could use, and the distance of each team from its
// entitlement. A task counts with its actual or its declared size, whichever is
// larger.
func (s *simulation) recordPackingAndShares() {
	var capacity, held resourceVec
	for _, v := range s.vms {
		if v.downAt.IsZero() {
			capacity = capacity.add(toResourceVec(v.Capacity))
		}
	}
	used, demand := make([]resourceVec, len(s.workload.shares)), make([]resourceVec, len(s.workload.shares))
	for _, t := range s.tasks {
		team := int(t.job.Team[len(t.job.Team)-1] - '0')
		need := toResourceVec(t.job.Resources).max(t.job.actual)
		demand[team] = demand[team].add(need)
		if t.vm != nil {
			used[team] = used[team].add(need)
		}
	}
	claimants := make([]fairshare.Claimant, len(used))
	var wanted resourceVec
	for i := range used {
		claimants[i] = fairshare.Claimant{Weight: float64(s.workload.shares[i]), Demand: demand[i].fairshareVector()}
		held, wanted = held.add(used[i]), wanted.add(demand[i])
	}
	possible := min(1, wanted.dominantShareOf(capacity))
	if possible > 0 {
		s.packing = append(s.packing, min(1, held.dominantShareOf(capacity)/possible))
	}
	if wanted.fits(capacity) {
		return // shares matter only when the demand exceeds the capacity
	}
	for i, e := range fairshare.Entitlements(capacity.fairshareVector(), claimants) {
		name := teamName(i)
		d := used[i].dominantShareOf(capacity) - e
		s.shareDistances[name] = append(s.shareDistances[name], max(d, -d))
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

// shareDistance returns the distance of a team from its entitlement: the mean
// over all teams and the value of the worst team.
func (r *result) shareDistance() (average, worst float64) {
	for _, list := range r.shareDistances {
		average += mean(list) / float64(len(r.shareDistances))
		worst = max(worst, mean(list))
	}
	return average, worst
}
