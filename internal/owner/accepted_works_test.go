package owner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/entry"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

// Shape of the simulations of accepted works.
const (
	simulatedMaxAttempts = 3
	simulatedWorks       = 45
	faultTime            = 30 * time.Second
	settleTime           = 90 * time.Second // until all works have ended once there are no faults
	clientTimeout        = 2800 * time.Millisecond
	clientTries          = 12
)

var acceptedSeeds = flag.Int("accepted-seeds", 6, "number of seeds of the simulation of accepted works")

// Guards against an accepted work that the next owner does not know, that is shown as failed
// although no task has failed often enough, as canceled although nobody has canceled it or as
// completed before its tasks are done, against a refused one that runs, and against a node that
// does not answer any more, while nodes are stopped, killed and cut off and the table service
// loses answers, rejects calls and carries out commits late.
func TestAcceptedWorksOutliveTheirOwners(t *testing.T) {
	for seed := range uint64(*acceptedSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runAcceptedWorks(t, seed) })
		})
	}
}

// acceptedWorks are the works of the clients of a simulated cell.
type acceptedWorks struct {
	*simulatedCell
	seed uint64

	mu       sync.Mutex
	accepted map[string]*api.WorkSpec
	refused  map[string]bool // works of which each try was refused
	canceled map[string]bool // works for which a cancellation was sent
	reported map[string]bool

	cutNodes chan *simulatedProcess // nodes that have just been cut off, for clients that wait for one
}

func runAcceptedWorks(t *testing.T, seed uint64) {
	a := &acceptedWorks{
		simulatedCell: newSimulatedCell(t, seed), seed: seed,
		accepted: map[string]*api.WorkSpec{}, refused: map[string]bool{}, canceled: map[string]bool{}, reported: map[string]bool{},
		cutNodes: make(chan *simulatedProcess),
	}
	if seed%2 == 0 {
		a.maxRowBytes = 1500 // records of several parts
	}
	var clients sync.WaitGroup
	for n := range simulatedWorks {
		clients.Add(1)
		go func() {
			defer clients.Done()
			a.runClient(n)
		}()
	}
	faults := time.Now()
	random := rand.New(rand.NewPCG(seed, 4))
	for time.Since(faults) < faultTime {
		a.injectFault(random)
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
		a.check(random)
	}
	a.store.setTrouble(false)
	clients.Wait()
	time.Sleep(10 * time.Second) // the last stops and starts are over
	a.checkAnswers()
	for end := time.Now().Add(settleTime); !a.check(random) && !t.Failed(); time.Sleep(500 * time.Millisecond) {
		if time.Now().After(end) {
			t.Error("not all accepted works end")
			break
		}
	}
	a.checkRefused()
	a.endAll()
	t.Logf("%d accepted, %d refused, %d canceled, %d owners, %d processes, faults of commits and reads %v, %d late commits applied",
		len(a.accepted), len(a.refused), len(a.canceled), a.tenures, a.started, a.store.failed, a.store.late)
}

// randomWork draws a work.
func randomWork(n int, random *rand.Rand) *api.WorkSpec {
	spec := testWork(fmt.Sprintf("%016x", n+1)).Work
	step := &spec.Steps[0]
	step.Count, step.EstimateMs = 1+random.IntN(4), 500
	switch random.IntN(6) {
	case 0, 1:
		step.Gang, step.Count = true, 2+random.IntN(2)
	case 2:
		second := *step
		second.After = []int{0}
		spec.Steps = append(spec.Steps, second)
	case 3:
		step.Count = 15
	case 4:
		step.Speculative = true
	}
	return &spec
}

// runClient submits a work, again after each try without an answer, and at times once more after
// it was accepted. It may cancel the work.
func (a *acceptedWorks) runClient(n int) {
	random := rand.New(rand.NewPCG(a.seed, 100+uint64(n)))
	first := a.awaitTurn(n, random)
	spec := randomWork(n, random)
	for i := range spec.Steps {
		if spec.Steps[i].Gang {
			a.pool.mu.Lock()
			a.pool.gangs[work.StepID{Work: spec.Id, Step: i}.String()] = true
			a.pool.mu.Unlock()
		}
	}
	if random.IntN(15) == 0 {
		a.store.mu.Lock()
		a.store.rejected[spec.Id] = true
		a.store.mu.Unlock()
	}
	if !a.submit(spec, first, random) {
		return
	}
	if random.IntN(3) == 0 {
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		if err := a.try(random, func(ctx context.Context, p *simulatedProcess) error { return a.submitAt(ctx, p, spec) }); refusedForGood(err) {
			a.t.Errorf("work %s is refused after it was accepted: %v", spec.Id, err)
		}
	}
	if random.IntN(6) == 0 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		a.cancel(spec.Id, random)
	}
}

// awaitTurn waits until a client begins. One in three begins at a node that has just been cut off,
// which is returned; nil for the others.
func (a *acceptedWorks) awaitTurn(n int, random *rand.Rand) *simulatedProcess {
	if n%3 > 0 {
		time.Sleep(time.Duration(random.Int64N(int64(faultTime))))
		return nil
	}
	select {
	case p := <-a.cutNodes:
		return p
	case <-time.After(faultTime):
		return nil
	}
}

// refusedForGood reports whether the caller is told that the same call would be refused again.
func refusedForGood(err error) bool {
	return err != nil && errkind.From(err).Outcome() == errkind.NotRun && !errkind.ResponseOf(errkind.From(err).Kind).Retryable &&
		!errkind.Is(err, errkind.DeadlineExceeded) && !errkind.Is(err, errkind.Canceled)
}

// submit submits a work until it is accepted, and reports whether it is. The first try is at a
// given node, unless that is nil.
func (a *acceptedWorks) submit(spec *api.WorkSpec, first *simulatedProcess, random *rand.Rand) bool {
	refusals := 0
	for try := 1; try <= clientTries; try++ {
		err := a.submitOnce(spec, first, random)
		first = nil
		if err == nil {
			a.mu.Lock()
			a.accepted[spec.Id] = spec
			a.mu.Unlock()
			return true
		}
		if errkind.From(err).Outcome() == errkind.NotRun {
			refusals++
			if random.IntN(3) == 0 || refusedForGood(err) {
				a.mu.Lock()
				a.refused[spec.Id] = refusals == try
				a.mu.Unlock()
				return false
			}
		}
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
	return false
}

// submitOnce submits a work at a node, and at times once more before that has answered. It returns
// the better of the two answers: accepted, unknown, refused.
func (a *acceptedWorks) submitOnce(spec *api.WorkSpec, at *simulatedProcess, random *rand.Rand) error {
	tries := 1 + random.IntN(2)
	answers := make(chan error, tries)
	for range tries {
		p := at
		if p == nil {
			p = a.anyProcess(random)
		}
		go func() {
			answers <- callProcess(p, func(ctx context.Context, p *simulatedProcess) error { return a.submitAt(ctx, p, spec) })
		}()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	best := <-answers
	for range tries - 1 {
		next := <-answers
		if best != nil && (next == nil || errkind.From(next).Outcome() == errkind.Unknown) {
			best = next
		}
	}
	return best
}

func (a *acceptedWorks) submitAt(ctx context.Context, p *simulatedProcess, spec *api.WorkSpec) error {
	sent := *spec
	return p.forwarder.Submit(ctx, a.call(), &sent)
}

func (a *acceptedWorks) call() entry.AdmittedCall {
	return entry.AdmittedCall{Queue: a.config.Queues[testQueue], Team: testTeam, Version: a.config.Version}
}

// cancel cancels a work.
func (a *acceptedWorks) cancel(id string, random *rand.Rand) {
	a.mu.Lock()
	a.canceled[id] = true
	a.mu.Unlock()
	for range clientTries {
		if a.try(random, func(ctx context.Context, p *simulatedProcess) error { return p.forwarder.Cancel(ctx, a.call(), id) }) == nil {
			return
		}
	}
}

// try makes a call at a random node. It has no answer if the process ends.
func (a *acceptedWorks) try(random *rand.Rand, do func(ctx context.Context, p *simulatedProcess) error) error {
	return callProcess(a.anyProcess(random), do)
}

// anyProcess returns a random process that takes calls of clients.
func (a *acceptedWorks) anyProcess(random *rand.Rand) *simulatedProcess {
	nodes := a.serving()
	return nodes[random.IntN(len(nodes))]
}

func callProcess(p *simulatedProcess, do func(ctx context.Context, p *simulatedProcess) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	answer := make(chan error, 1)
	go func() { answer <- do(ctx, p) }()
	select {
	case err := <-answer:
		if p.ended.Err() == nil {
			return err
		}
	case <-p.ended.Done():
	}
	return errkind.New(errkind.OutcomeUnknown, "", "the process has ended")
}

// check checks the states of the accepted works, and reports whether all have ended.
func (a *acceptedWorks) check(random *rand.Rand) bool {
	a.mu.Lock()
	var ids []string
	for id := range a.accepted {
		ids = append(ids, id)
	}
	a.mu.Unlock()
	slices.Sort(ids)
	ended := true
	for _, id := range ids {
		var state api.WorkState
		err := a.try(random, func(ctx context.Context, p *simulatedProcess) error {
			s, err := p.forwarder.State(ctx, a.call(), id)
			if err == nil {
				state = s
			}
			return err
		})
		switch {
		case errkind.Is(err, errkind.NotFound):
			a.fail(id, "is not known")
		case err == nil:
			a.checkState(id, state)
		}
		ended = ended && err == nil && (state == api.WorkStateCompleted || state == api.WorkStateFailed || state == api.WorkStateCanceled)
	}
	return ended
}

// checkState checks that the state of a work has a cause.
func (a *acceptedWorks) checkState(id string, state api.WorkState) {
	a.mu.Lock()
	spec, canceled := a.accepted[id], a.canceled[id]
	a.mu.Unlock()
	failures, undone := 0, 0
	for step := range spec.Steps {
		for index := range spec.Steps[step].Count {
			task := work.TaskID{StepID: work.StepID{Work: id, Step: step}, Index: index}.String()
			failures = max(failures, a.pool.failedAttempts(task))
			if !a.pool.isDone(task) {
				undone++
			}
		}
	}
	switch {
	case state == api.WorkStateFailed && failures < simulatedMaxAttempts:
		a.fail(id, fmt.Sprintf("is shown as failed after %d failed attempts", failures))
	case state == api.WorkStateCanceled && !canceled:
		a.fail(id, "is shown as canceled")
	case state == api.WorkStateCompleted && undone > 0:
		a.fail(id, fmt.Sprintf("is shown as completed, and %d tasks are not done", undone))
	}
}

// fail reports a fault of a work once.
func (a *acceptedWorks) fail(id, fault string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.reported[id] {
		a.reported[id] = true
		a.t.Errorf("at %v: the accepted work %s %s", bubbleNow(), id, fault)
	}
}

// checkRefused checks that no refused work has run.
func (a *acceptedWorks) checkRefused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	for id, refused := range a.refused {
		if refused && a.pool.started[id] > 0 {
			a.t.Errorf("work %s was refused and has run", id)
		}
	}
}

// checkAnswers checks that each node answers its clients.
func (a *acceptedWorks) checkAnswers() {
	for _, p := range a.serving() {
		err := callProcess(p, func(ctx context.Context, p *simulatedProcess) error {
			_, err := p.forwarder.State(ctx, a.call(), "ffffffffffffffff")
			return err
		})
		if !errkind.Is(err, errkind.NotFound) {
			a.t.Errorf("node %s does not answer: %v", p.address, err)
		}
	}
}

// endAll ends all processes and checks that nothing keeps them.
func (a *acceptedWorks) endAll() {
	for _, p := range a.serving() {
		p.end()
	}
	ended := make(chan struct{})
	go func() {
		a.ending.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		a.t.Error("a process does not end")
	}
	time.Sleep(20 * time.Second) // calls that outlast their process end
}

// minServing is the number of nodes that go on whatever the faults.
const minServing = 2

// injectFault injects at most one fault.
func (a *acceptedWorks) injectFault(random *rand.Rand) {
	nodes := a.serving()
	victim := nodes[random.IntN(len(nodes))]
	if i := slices.IndexFunc(nodes, func(p *simulatedProcess) bool { return p.agent.OwnsCell() }); i >= 0 && random.IntN(4) > 0 {
		victim = nodes[i]
	}
	down := time.Duration(200+random.IntN(2000)) * time.Millisecond
	switch random.IntN(10) {
	case 0, 1:
		a.store.setTrouble(true)
		time.AfterFunc(3*down, func() { a.store.setTrouble(false) })
	case 2:
		if len(nodes) > minServing {
			go a.restart(victim, victim.stop, down)
		}
	case 3:
		if len(nodes) > minServing {
			go a.restart(victim, victim.end, down)
		}
	case 4, 8:
		victim.cut(down)
		select {
		case a.cutNodes <- victim:
		default:
		}
	case 5, 6:
		a.pool.silence(random.IntN(simulatedWorkers), 4*down)
	case 7:
		a.pool.restart(random.IntN(simulatedWorkers))
	}
}

// restart ends a process and starts another one of its node.
func (a *acceptedWorks) restart(p *simulatedProcess, end func(), down time.Duration) {
	end()
	time.Sleep(down)
	a.startProcess(p.address)
}
