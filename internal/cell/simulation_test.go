package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// simulation runs a cell on a fake clock, with fake workers, an adviser and stored
// records. It delays commands and loses answers at random from a seed, and checks the
// invariants on the workers. Throttle commands are ignored.
type simulation struct {
	t           simulationTB
	rand        *rand.Rand
	exitRand    *rand.Rand // decides which failed workers refuse connections
	nextRand    *rand.Rand // draws the times between owners that release the cell
	now         time.Duration
	wall        time.Time
	epoch       int
	cell        *Cell
	config      *work.Config
	workers     map[string]*fakeWorker
	sortedIDs   []string      // of the workers
	manyWorkers bool          // the workers advance once a tick, not with each event, and their runs by a tick
	workersAt   time.Duration // when they last did
	events      eventHeap
	seq         int

	// Stored records.
	works          map[string][]byte
	progress       map[string][][]byte // parts
	finished       map[string][]byte
	ended          map[string]bool // works whose final state has been stored
	storeUp        bool
	commitInFlight bool
	committedAt    time.Duration                 // last moment at which an owner could commit
	leaseEnds      map[Incarnation]time.Duration // stored row of lease ends
	leaseEndWrites int                           // how often it was written
	replaced       bool                          // another node has claimed the cell, so that commits fail

	// Injected faults.
	answerLossShare float64         // share of the commands whose answer is lost
	lateCallShare   float64         // share of the calls that are carried out late, without an answer
	latePolls       int             // the next polls that are carried out late
	lateStarts      int             // the next starts
	lateStops       int             // the next stops
	lateBy          time.Duration   // how late; 0 for a random time
	failShare       float64         // share of the tasks that fail at random
	alwaysFails     map[string]bool // works of which every task fails
	allowedShare    float64         // share of the workers that the adviser permits
	adviceFails     bool            // calls to the adviser fail
	keepsOwner      bool            // random faults do not replace the owner
	tenureEnds      tenureEnds      // random faults replace the owner by a series of owners that end in these ways; nil: one is killed
	unreadableShare float64         // share of the owners that can't read the row of lease ends
	pausedUntil     time.Duration   // the process of the owner is paused until then

	evacuations    simEvacuations
	eventCounts    map[int]int                 // log lines by event number
	observations   map[string]*taskObservation // by task name
	specs          map[string]*api.WorkSpec
	adviceTime     time.Duration
	adviceTimes    map[string]time.Duration // by queue, instead of adviceTime
	adviserBusy    map[string]time.Duration // end of the calls of a node, if the adviser handles them one at a time
	commitTime     time.Duration
	tickets        map[string]time.Duration // expiry, by step, worker and ticket
	allowedWorkers map[string]bool          // by step and worker
	adviceCalls    int
	silentNodes    map[string]bool  // nodes through which no advice call is answered
	silentCalls    int              // calls through them
	ownerAddress   string           // of the node of the owner, if that makes calls to the adviser
	adviser        func(AdviceCall) // carries out the calls to the adviser, if it is set
	polls          int
	stops          int // stop commands sent
	stopped        bool
	submitted      int           // works submitted by submitLoad
	cpuTime        time.Duration // CPU time of the scheduler core, for benchmarks
}

// taskObservation is what the workers have observed of a task.
type taskObservation struct {
	doneAcked bool // a done end was acknowledged
	failures  int
	starts    int
}

type simEvent struct {
	at   time.Duration
	seq  int
	do   func()
	call *simCall // the event is dropped once this call is settled; nil if it is always handled
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// Times of the simulation.
const (
	simTokens      = 1 << 20 // fencing tokens of an owner
	networkDelay   = 2 * time.Millisecond
	simTick        = 10 * time.Millisecond
	ticketValidity = 2 * time.Second
	testLease      = 5 * time.Second
	testMaxLease   = 10 * time.Second
	// testGrantLimit is how long after its last commit the leases may last that an owner grants.
	testGrantLimit = 6 * time.Second
	stopTime       = 100 * time.Millisecond
)

// simulationTB is the part of testing.TB that a simulation needs. A property test has it too.
type simulationTB interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Failed() bool
}

func newSimulation(t simulationTB, seed uint64) *simulation {
	t.Helper()
	t.Logf("seed %d", seed)
	sim := &simulation{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), exitRand: rand.New(rand.NewPCG(seed, 2)), nextRand: rand.New(rand.NewPCG(seed, 4)), now: time.Hour, wall: time.UnixMilli(1_700_000_000_000),
		workers: map[string]*fakeWorker{}, works: map[string][]byte{}, progress: map[string][][]byte{},
		finished: map[string][]byte{}, ended: map[string]bool{}, storeUp: true, observations: map[string]*taskObservation{}, specs: map[string]*api.WorkSpec{},
		adviceTime: 20 * time.Millisecond, commitTime: 10 * time.Millisecond, tickets: map[string]time.Duration{}, allowedWorkers: map[string]bool{}, allowedShare: 1, alwaysFails: map[string]bool{},
		eventCounts: map[int]int{},
	}
	sim.config = &work.Config{Version: 1, Queues: map[string]*work.Queue{}, Teams: map[string]*work.Team{}, Pools: map[string]*work.Pool{"desk": {Name: "desk"}}}
	sim.queue("quotes", 0, nil)
	sim.queue("batch", 2, nil)
	return sim
}

// queue declares a queue of the pool "desk".
func (sim *simulation) queue(name string, priority int, advice *work.Advice) *work.Queue {
	q := &work.Queue{Name: name, Pool: "desk", Priority: priority, MaxAttempts: 3, LatencyFactor: 2, TargetLatency: time.Second, Advice: advice}
	sim.config.Queues[name] = q
	return q
}

// shortAdvice returns the settings of an adviser whose calls are short.
func shortAdvice() *work.Advice {
	return &work.Advice{CallDuration: 20 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 2 * time.Second}
}

// startOwner starts a new owner: a new epoch and a new cell, restored from the records.
func (sim *simulation) startOwner() {
	leaseEnds, unknown := sim.readLeaseEnds()
	sim.epoch++
	sim.commitInFlight, sim.pausedUntil, sim.replaced = false, 0, false
	sim.cell = New(Options{
		FirstToken: sim.epoch*simTokens + 1, LastToken: (sim.epoch + 1) * simTokens, Address: sim.ownerAddress, TaskLease: testLease, MaxTaskLease: testMaxLease, StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second,
		SlowdownTimeout: 4 * time.Second, RestoreTime: 600 * time.Millisecond, StatusRetention: time.Minute, RemoteFactor: 1.5,
		PriorGrantsEnd: sim.committedAt + testGrantLimit, PriorLeasesEnd: sim.committedAt + LeaseBound(testGrantLimit),
		RecordedLeaseEnds: leaseEnds, LeaseEndsUnknown: unknown,
		FirstContactEnd: sim.now + 3*time.Second, MaxEvacuationsAge: sim.evacuations.maxAge,
	})
	sim.cell.Advance(sim.now, sim.wall)
	sim.readEvacuations()
	sim.noteCommit()
	sim.cell.Configure(sim.config)
	for _, id := range sortedKeys(sim.finished) {
		var p api.ProgressRow
		sim.decode(&p, sim.finished[id])
		sim.cell.RestoreFinished(id, &p)
	}
	for _, id := range sortedKeys(sim.works) {
		var row api.WorkRow
		sim.decode(&row, sim.works[id])
		var parts []*api.ProgressRow
		for _, data := range sim.progress[id] {
			var p api.ProgressRow
			sim.decode(&p, data)
			parts = append(parts, &p)
		}
		sim.cell.Restore(&row, JoinProgress(parts), len(parts))
	}
	sim.cell.SetAdviceNodes([]string{"a", "b", "c"})
	sim.updateWorkers()
}

// updateWorkers passes the list of workers to the cell.
func (sim *simulation) updateWorkers() {
	if sim.cell == nil {
		return
	}
	infos := sim.listWorkers()
	sim.toCell(sim.cell, func(c *Cell) { c.SetWorkers(infos) })
}

// listWorkers returns the list of workers.
func (sim *simulation) listWorkers() []WorkerInfo {
	var infos []WorkerInfo
	for _, id := range sim.workerIDs() {
		f := sim.workers[id]
		if f.listed {
			infos = append(infos, f.info())
		}
	}
	return infos
}

func (sim *simulation) after(d time.Duration, do func()) { sim.afterUnlessSettled(d, nil, do) }

func (sim *simulation) afterUnlessSettled(d time.Duration, call *simCall, do func()) {
	sim.seq++
	heap.Push(&sim.events, simEvent{sim.now + d, sim.seq, do, call})
}

// runFor runs the simulation for d.
func (sim *simulation) runFor(d time.Duration) {
	sim.t.Helper()
	end := sim.now + d
	for sim.now < end {
		next := min(end, sim.now+simTick)
		for len(sim.events) > 0 && sim.events[0].at <= next {
			e := heap.Pop(&sim.events).(simEvent)
			if e.call != nil && e.call.settled {
				continue
			}
			sim.advance(max(e.at, sim.now))
			e.do()
		}
		sim.advance(next)
		sim.tick()
		sim.checkUsage()
		sim.checkLeaseEnds()
	}
}

// checkUsage checks that the usage of each team and worker is the sum of its runs.
func (sim *simulation) checkUsage() {
	if sim.cell == nil || sim.t.Failed() {
		return
	}
	used := map[*team]work.Resources{}
	for _, w := range sim.cell.fleet {
		sum := work.Resources{}
		for _, r := range w.runs {
			sum = sum.Plus(r.size)
			t := r.task.step.work.team
			used[t] = used[t].Plus(r.task.step.size)
		}
		if sum != w.used {
			sim.t.Errorf("at %v worker %s is charged %+v for runs of %+v", sim.now, w.info.ID, w.used, sum)
		}
	}
	for name, t := range sim.cell.teams {
		if used[t] != t.used {
			sim.t.Errorf("at %v team %q is charged %+v for runs of %+v", sim.now, name, t.used, used[t])
		}
	}
}

// runUntil runs the simulation until the condition holds, and fails the test after limit.
func (sim *simulation) runUntil(limit time.Duration, what string, cond func() bool) {
	sim.t.Helper()
	for end := sim.now + limit; sim.now < end; {
		if cond() {
			return
		}
		sim.runFor(simTick)
	}
	if !cond() {
		sim.t.Fatalf("after %v: not %s", limit, what)
	}
}

func (sim *simulation) advance(to time.Duration) {
	sim.wall = sim.wall.Add(to - sim.now)
	sim.now = to
	if sim.cell != nil && !sim.paused() {
		sim.cell.Advance(sim.now, sim.wall)
	}
	if sim.manyWorkers && to-sim.workersAt < simTick {
		return
	}
	sim.workersAt = to
	for _, id := range sim.workerIDs() {
		sim.workers[id].advance()
	}
}

// workerIDs returns the IDs of the workers in order.
func (sim *simulation) workerIDs() []string {
	if len(sim.sortedIDs) != len(sim.workers) { // no worker is removed
		sim.sortedIDs = sortedKeys(sim.workers)
	}
	return sim.sortedIDs
}

// tick runs the scheduler once and carries out its effects.
func (sim *simulation) tick() {
	if sim.cell == nil || sim.stopped || sim.paused() {
		return
	}
	sim.cell.Advance(sim.now, sim.wall)
	sim.noteCommit()
	sim.readEvacuations()
	began := time.Now()
	sim.cell.Schedule()
	for _, l := range sim.cell.DrainLogLines() {
		sim.eventCounts[l.Event.Number]++
	}
	sim.commit()
	e := sim.cell.DrainEffects()
	sim.cpuTime += time.Since(began)
	sim.checkEvacuations(&e)
	for _, p := range e.Polls {
		sim.sendPoll(p)
	}
	for _, s := range e.Starts {
		sim.sendCommand(s.Worker, s.Token, sim.startLateness(&s), func(f *fakeWorker) func(c *Cell) {
			outcome := f.start(&s)
			clock := f.clock()
			return func(c *Cell) { c.StartAnswered(&s, outcome, clock) }
		}, func(c *Cell) { c.StartAnswered(&s, StartFenced, 0) }, func(c *Cell) { c.StartAnswered(&s, StartUnanswered, 0) }, s.Timeout)
	}
	sim.stops += len(e.Stops)
	for _, s := range e.Stops {
		sim.sendCommand(s.Worker, s.Token, sim.stopLateness(), func(f *fakeWorker) func(c *Cell) {
			f.stop(s.Task, s.Attempt)
			clock := f.clock()
			return func(c *Cell) { c.StopAnswered(&s, true, clock) }
		}, func(c *Cell) { c.StopOvertaken(&s) }, func(c *Cell) { c.StopAnswered(&s, false, 0) }, s.Timeout)
	}
	for _, a := range e.AdviceCalls {
		sim.answerAdvice(a)
	}
}

// noteCommit notes that the owner can commit now, as an idle owner does to keep the cell.
func (sim *simulation) noteCommit() {
	if sim.storeUp && !sim.replaced {
		sim.committedAt = sim.now
		sim.cell.SetLeaseLimit(sim.now + testGrantLimit)
	}
}

func (sim *simulation) answerAdvice(a AdviceCall) {
	sim.adviceCalls++
	if sim.adviser != nil {
		sim.adviser(a)
		return
	}
	if sim.silentNodes[a.Node] {
		sim.silentCalls++
		sim.afterForCell(a.ExpectedTime+callTimeoutMargin, func(c *Cell) { c.AdviceFailed(a.ID) })
		return
	}
	if sim.adviceFails {
		sim.afterForCell(sim.adviceTime, func(c *Cell) { c.AdviceFailed(a.ID) })
		return
	}
	callTime, ok := sim.adviceTimes[sim.specs[a.Step.Work].Queue]
	if !ok {
		callTime = sim.adviceTime
	}
	if sim.adviserBusy != nil {
		callTime = sim.serialCallTime(a)
	}
	sim.afterForCell(callTime+2*networkDelay, func(c *Cell) {
		tickets := map[string]string{}
		for _, id := range a.Workers {
			if !sim.allowed(a.Step.String(), id) {
				continue
			}
			ticket := fmt.Sprintf("t%d", sim.adviceCalls)
			tickets[id] = ticket
			sim.tickets[a.Step.String()+id+ticket] = sim.now + ticketValidity
		}
		c.AdviceAnswered(a.ID, tickets, ticketValidity)
	})
}

// allowed reports whether the adviser permits a step on a worker. The decision does not
// change.
func (sim *simulation) allowed(step, worker string) bool {
	key := step + "/" + worker
	permitted, ok := sim.allowedWorkers[key]
	if !ok {
		permitted = worker == "w0" || sim.rand.Float64() < sim.allowedShare
		sim.allowedWorkers[key] = permitted
	}
	return permitted
}

// submit submits a work and fails the test if it is refused.
func (sim *simulation) submit(spec *api.WorkSpec) {
	sim.t.Helper()
	sim.specs[spec.Id] = spec
	sim.cell.Submit(spec, func(_ bool, err error) {
		if err != nil {
			sim.t.Errorf("submit %s: %v", spec.Id, err)
		}
	})
}

// unlistWorkers cuts all workers off for d, longer than a lease, until they are no longer
// listed, and lists them again with the same incarnation.
func (sim *simulation) unlistWorkers(d time.Duration) {
	sim.t.Helper()
	for _, f := range sim.workers {
		f.unresponsive, f.listed = true, false
	}
	sim.updateWorkers()
	sim.runFor(d)
	if n := len(sim.cell.fleet); n > 0 {
		sim.t.Fatalf("the cell still has %d workers", n)
	}
	for _, f := range sim.workers {
		f.unresponsive, f.listed = false, true
	}
	sim.updateWorkers()
}

// countRuns counts the runs of a work on the workers.
func (sim *simulation) countRuns(workID string) int {
	n := 0
	for _, f := range sim.workers {
		for name := range f.runs {
			if id, ok := parseTaskName(name); ok && id.Work == workID {
				n++
			}
		}
	}
	return n
}

// runningTasks counts the runs on the workers.
func (sim *simulation) runningTasks() int {
	n := 0
	for _, f := range sim.workers {
		n += len(f.runs)
	}
	return n
}

// state returns the state of a work, as returned to callers.
func (sim *simulation) state(id string) api.WorkState {
	spec := sim.specs[id]
	s, err := sim.cell.State(&api.WorkRef{Id: id, Queue: spec.Queue, Team: spec.Team})
	if err != nil {
		return ""
	}
	return s
}

func (sim *simulation) observationOf(task string) *taskObservation {
	if sim.observations[task] == nil {
		sim.observations[task] = &taskObservation{}
	}
	return sim.observations[task]
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// workID returns the ID of the nth work.
func workID(n int) string { return fmt.Sprintf("%016x", n) }

// oneStep returns a work with one step.
func oneStep(n int, queue string, step api.StepSpec) *api.WorkSpec {
	return &api.WorkSpec{Id: workID(n), Queue: queue, Team: "team", Steps: []api.StepSpec{step}}
}
