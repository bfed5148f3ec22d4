package owner

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/work"
)

// simulatedPool is a pool of workers with a record of how each run has ended.
type simulatedPool struct {
	mu       sync.Mutex
	rand     *rand.Rand
	workers  map[string]*simulatedWorker
	ends     map[string]map[int][]cell.End // by task and attempt; several for the members of a gang
	gangs    map[string]bool               // steps that are gangs
	attempts map[string]bool               // whether a gang attempt fails, by step and attempt
	started  map[string]int                // starts by work
}

// simulatedWorker follows the protocol of the platform. A restart leaves only its ID.
type simulatedWorker struct {
	id         string
	born       int // Unix time in milliseconds
	token      int
	leaseUntil int64
	runs       map[string]*simulatedRun
	stopped    map[string]int // highest attempt of a task that was stopped or has ended
	ends       []cell.EndReport
	lastEnd    int
	silentTill time.Duration // no call is answered until then, but the runs go on
}

type simulatedRun struct {
	attempt int
	endsAt  time.Duration
	end     cell.End
}

const (
	simulatedWorkers = 5
	workerDelay      = 2 * time.Millisecond
	listInterval     = 300 * time.Millisecond
	failingShare     = 0.3  // of the runs
	lostCallShare    = 0.04 // of the calls to workers, before or after they are carried out
)

func newSimulatedPool(seed uint64) *simulatedPool {
	p := &simulatedPool{
		rand: rand.New(rand.NewPCG(seed, 3)), workers: map[string]*simulatedWorker{}, ends: map[string]map[int][]cell.End{},
		gangs: map[string]bool{}, attempts: map[string]bool{}, started: map[string]int{},
	}
	for n := range simulatedWorkers {
		id := string(rune('a' + n))
		p.workers[id] = newSimulatedWorker(id)
	}
	return p
}

func newSimulatedWorker(id string) *simulatedWorker {
	return &simulatedWorker{id: id, born: int(time.Now().UnixMilli()), runs: map[string]*simulatedRun{}, stopped: map[string]int{}}
}

// restart starts a worker again, without its runs and ends.
func (p *simulatedPool) restart(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := string(rune('a' + n))
	p.advance(p.workers[id], bubbleNow())
	p.workers[id] = newSimulatedWorker(id)
}

// list returns the list of workers.
func (p *simulatedPool) list() []cell.WorkerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []cell.WorkerInfo
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		ref := cell.WorkerRef{ID: id, IncarnationUnixMs: p.workers[id].born, Address: id}
		out = append(out, cell.WorkerInfo{WorkerRef: ref, Pool: testPool, Capacity: work.Resources{CPUMillis: 4000, MemoryMB: 8000}})
	}
	return out
}

// silence makes a worker answer no calls for d.
func (p *simulatedPool) silence(n int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[string(rune('a'+n))].silentTill = bubbleNow() + d
}

// failedAttempts returns how many attempts of the task, or of its gang, have ended as failed.
func (p *simulatedPool) failedAttempts(task string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, ends := range p.ends[p.counted(task)] {
		if slices.Contains(ends, cell.EndFailed) {
			n++
		}
	}
	return n
}

// isDone reports whether a run of the task, or of its gang, has ended as done.
func (p *simulatedPool) isDone(task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ends := range p.ends[p.counted(task)] {
		if slices.Contains(ends, cell.EndDone) {
			return true
		}
	}
	return false
}

// counted returns the key under which the ends of a task are counted: that of its step for a
// member of a gang.
func (p *simulatedPool) counted(task string) string {
	if id, err := work.ParseTaskID(task); err == nil && p.gangs[id.StepID.String()] {
		return id.StepID.String()
	}
	return task
}

var errWorkerSilent = errors.New("the worker does not answer")

// call carries out a call to a worker unless it is lost, or its answer is.
func (p *simulatedPool) call(ctx context.Context, id string, token int, do func(w *simulatedWorker)) (clockMs int64, err error) {
	time.Sleep(workerDelay)
	p.mu.Lock()
	w := p.workers[id]
	now := bubbleNow()
	lost, answerLost := p.rand.Float64() < lostCallShare, p.rand.Float64() < lostCallShare
	if w == nil || ctx.Err() != nil || lost || now < w.silentTill {
		p.mu.Unlock()
		<-ctx.Done()
		return 0, errWorkerSilent
	}
	if token < w.token {
		p.mu.Unlock()
		return 0, ErrFenced
	}
	w.token = token
	p.advance(w, now)
	do(w)
	p.mu.Unlock()
	if answerLost {
		<-ctx.Done()
		return 0, errWorkerSilent
	}
	time.Sleep(workerDelay)
	return now.Milliseconds(), nil
}

// advance ends the runs that are due and those whose lease has expired. mu is held.
func (p *simulatedPool) advance(w *simulatedWorker, now time.Duration) {
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		leaseEnd := time.Duration(w.leaseUntil) * time.Millisecond
		switch {
		case r.endsAt <= min(now, leaseEnd):
			p.end(w, task, r.end)
		case leaseEnd < now:
			p.end(w, task, cell.EndLeaseExpired)
		}
	}
}

func (p *simulatedPool) end(w *simulatedWorker, task string, outcome cell.End) {
	r := w.runs[task]
	delete(w.runs, task)
	w.stopped[task] = max(w.stopped[task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, cell.EndReport{Number: w.lastEnd, Task: task, Attempt: r.attempt, Outcome: outcome})
	key := p.counted(task)
	if p.ends[key] == nil {
		p.ends[key] = map[int][]cell.End{}
	}
	p.ends[key][r.attempt] = append(p.ends[key][r.attempt], outcome)
}

// Poll implements Workers.
func (p *simulatedPool) Poll(ctx context.Context, in *cell.Poll) (*cell.Report, error) {
	out := &cell.Report{}
	deadline := bubbleNow() + in.Wait
	for {
		clockMs, err := p.call(ctx, in.Worker.ID, in.Token, func(w *simulatedWorker) {
			w.leaseUntil = max(w.leaseUntil, in.LeaseUntil)
			w.ends = slices.DeleteFunc(w.ends, func(e cell.EndReport) bool { return e.Number <= in.AckedThrough })
			out.IncarnationUnixMs = w.born
			out.Ends = slices.Clone(w.ends)
			out.Running = nil
			for _, task := range slices.Sorted(maps.Keys(w.runs)) {
				out.Running = append(out.Running, cell.RunReport{Task: task, Attempt: w.runs[task].attempt})
			}
		})
		out.ClockMs = clockMs
		if err != nil || len(out.Ends) > 0 || bubbleNow() >= deadline {
			return out, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Start implements Workers.
func (p *simulatedPool) Start(ctx context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	outcome := cell.StartAccepted
	clockMs, err := p.call(ctx, s.Worker.ID, s.Token, func(w *simulatedWorker) {
		w.leaseUntil = max(w.leaseUntil, s.LeaseUntil)
		task := s.Task.String()
		if r := w.runs[task]; r != nil && r.attempt == s.Attempt {
			return
		}
		if s.Attempt <= w.stopped[task] {
			outcome = cell.StartSuperseded
			return
		}
		p.started[s.Task.Work]++
		w.runs[task] = p.newRun(s)
	})
	switch {
	case errors.Is(err, ErrFenced):
		return cell.StartFenced, 0
	case err != nil:
		return cell.StartUnanswered, 0
	}
	return outcome, clockMs
}

// newRun draws how a run ends. The members of a gang fail together or not at all. mu is held.
func (p *simulatedPool) newRun(s *cell.Start) *simulatedRun {
	step := s.Task.StepID.String()
	r := &simulatedRun{attempt: s.Attempt, end: cell.EndDone, endsAt: bubbleNow() + 200*time.Millisecond + time.Duration(p.rand.IntN(600))*time.Millisecond}
	fails := p.rand.Float64() < failingShare
	if p.gangs[step] {
		attempt := work.TaskID{StepID: s.Task.StepID, Index: s.Attempt}.String()
		if drawn, ok := p.attempts[attempt]; ok {
			fails = drawn
		}
		p.attempts[attempt] = fails
		r.endsAt = bubbleNow() + 500*time.Millisecond + time.Duration(p.rand.IntN(50))*time.Millisecond
	}
	if fails {
		r.end = cell.EndFailed
	}
	return r
}

// Stop implements Workers.
func (p *simulatedPool) Stop(ctx context.Context, s *cell.Stop) (int64, error) {
	return p.call(ctx, s.Worker.ID, s.Token, func(w *simulatedWorker) {
		w.stopped[s.Task] = max(w.stopped[s.Task], s.Attempt)
		if r := w.runs[s.Task]; r != nil && r.attempt == s.Attempt {
			p.end(w, s.Task, cell.EndStopped)
		}
	})
}

// Throttle implements Workers.
func (p *simulatedPool) Throttle(context.Context, *cell.Throttle) error { return nil }

// CloseIdleConnections implements Workers.
func (p *simulatedPool) CloseIdleConnections() {}

// Run implements Fleet.
func (p *simulatedPool) Run(ctx context.Context, _ cell.Heartbeats, onChange func([]cell.WorkerInfo, []cell.WorkerRef)) {
	for ctx.Err() == nil {
		onChange(p.list(), nil)
		select {
		case <-time.After(listInterval):
		case <-ctx.Done():
		}
	}
}

// Heartbeats implements Fleet. No worker drains.
func (p *simulatedPool) Heartbeats() cell.Heartbeats { return cell.Heartbeats{} }
