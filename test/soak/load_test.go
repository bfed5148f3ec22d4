package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/platform/standin"
)

// Load that the clients generate.
const (
	submitters     = 6
	submitInterval = 250 * time.Millisecond // mean time between two works of one submitter
	lightLoad      = 4                      // factor of submitInterval after the first faults, so that the backlog shrinks
	maxTries       = 6
	retryDelay     = 150 * time.Millisecond
	callTimeout    = 3 * time.Second
	lostCheckDelay = 3 * time.Second // an accepted work counts as lost if it is unknown twice, this far apart
	cancelShare    = 0.1             // of the accepted works that are not long-running
	serviceTime    = 5 * time.Second // after which a long-running work is canceled
)

// submittedWork is a work that a client has submitted.
type submittedWork struct {
	id, queue string
	kind      string
	accepted  bool
	canceled  bool
	failing   bool // all its tasks fail
	service   bool // its tasks run until the work is canceled

	client     *standin.Client
	steps      []standin.Step
	cancelSent bool
}

// workKinds are the kinds of works that are submitted.
var workKinds = []struct {
	kind  string
	steps func(r *rand.Rand) []standin.Step
}{
	{"short", func(r *rand.Rand) []standin.Step { return []standin.Step{taskStep(1+r.IntN(4), 500, 150)} }},
	{"chain", func(r *rand.Rand) []standin.Step {
		second := taskStep(1+r.IntN(3), 1000, 200)
		second.After = []int{0}
		return []standin.Step{taskStep(2, 500, 150), second}
	}},
	{"batch", func(r *rand.Rand) []standin.Step {
		s := taskStep(2+r.IntN(6), 1500, 1500)
		s.Checkpoints = true
		return []standin.Step{s}
	}},
	{"gang", func(r *rand.Rand) []standin.Step {
		s := taskStep(2+r.IntN(3), 2000, 800)
		s.Gang = true
		return []standin.Step{s}
	}},
	{"service", func(r *rand.Rand) []standin.Step {
		s := taskStep(1+r.IntN(3), 500, 100)
		s.LongRunning = true
		return []standin.Step{s}
	}},
	{"failing", func(*rand.Rand) []standin.Step {
		s := taskStep(2, 500, 100)
		s.Fails = true
		return []standin.Step{s}
	}},
}

func taskStep(count, cpuMillis, runTimeMs int) standin.Step {
	return standin.Step{
		Count: count, Size: api.Resources{CpuMillis: cpuMillis, MemoryMb: 256}, RunTime: time.Duration(runTimeMs) * time.Millisecond,
	}
}

// startLoad starts the clients, which run until ctx ends.
func (s *soak) startLoad(ctx context.Context) {
	for submitter := range submitters {
		s.clientLoops.Go(func() {
			r := s.newRand(fmt.Sprintf("submitter %d", submitter))
			for n := 0; ctx.Err() == nil; n++ {
				s.submit(r, submitter, n)
				pause := time.Duration(r.ExpFloat64() * float64(submitInterval))
				if s.lightLoad.Load() {
					pause *= lightLoad
				}
				clock.Sleep(ctx, pause)
			}
		})
	}
	s.clientLoops.Go(func() { s.submitLongRunning(ctx) })
	s.clientLoops.Go(func() { s.watchLongRunning(ctx) })
	s.clientLoops.Go(func() { s.watchQueues(ctx) })
	s.clientLoops.Go(func() { s.useWithdrawnKey(ctx) })
}

// submit submits one work and calls the nodes about it if it is accepted.
func (s *soak) submit(r *rand.Rand, submitter, number int) {
	workKind := workKinds[r.IntN(len(workKinds))]
	w := &submittedWork{
		id: fmt.Sprintf("%08x%08x", submitter+1, number), queue: []string{"quotes", "batch"}[r.IntN(2)], kind: workKind.kind,
		failing: workKind.kind == "failing", service: workKind.kind == "service", client: s.client,
	}
	if w.failing {
		w.queue = "hopeless" // the other queues allow more attempts, because injected faults make tasks fail too
	}
	w.steps = workKind.steps(r)
	if s.trySubmit(r, w) {
		s.followUp(r, w)
	}
}

// trySubmit submits a work in up to maxTries calls and reports whether it was accepted. If
// every call was refused, it records the work as refused; if the outcome of a call is
// unknown, the work may have been accepted, and nothing is recorded.
func (s *soak) trySubmit(r *rand.Rand, w *submittedWork) bool {
	unknown := false
	for try := range maxTries {
		status, err := s.withTimeout(func(ctx context.Context) (int, error) {
			return w.client.Submit(ctx, r.IntN(len(s.nodes)), w.queue, w.id, "payload", w.steps)
		})
		switch {
		case err == nil && status == http.StatusOK:
			w.accepted = true
			s.addAccepted(w)
			return true
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		case err == nil && status < http.StatusInternalServerError:
			s.addViolation("submission of work %s was answered with the unexpected status %d", w.id, status)
			return false
		default:
			unknown = true
		}
		time.Sleep(time.Duration(try+1) * retryDelay)
	}
	if !unknown {
		s.platform.RecordRefused(w.id)
	}
	return false
}

// followUp cancels some accepted works and checks the status of others.
func (s *soak) followUp(r *rand.Rand, w *submittedWork) {
	switch {
	case w.service:
		s.clientLoops.Go(func() {
			time.Sleep(serviceTime)
			s.cancel(w)
		})
	case r.Float64() < cancelShare:
		s.cancel(w)
	case r.Float64() < 0.5:
		s.checkStatus(w, r.IntN(len(s.nodes)))
	}
}

// cancel cancels a work and retries until the cancellation is confirmed.
func (s *soak) cancel(w *submittedWork) {
	s.mu.Lock()
	w.cancelSent = true
	s.mu.Unlock()
	for try := range 4 * maxTries {
		status, err := s.withTimeout(func(ctx context.Context) (int, error) {
			return w.client.Cancel(ctx, try, w.queue, w.id)
		})
		if err == nil && status == http.StatusOK {
			s.mu.Lock()
			w.canceled = true
			s.mu.Unlock()
			return
		}
		if err == nil && status == http.StatusGone {
			s.checkNotLost(w)
			return
		}
		time.Sleep(2 * retryDelay)
	}
	s.addViolation("cancellation of work %s was not confirmed", w.id)
}

// checkStatus requests the state of a work from a node and checks it.
func (s *soak) checkStatus(w *submittedWork, n int) {
	status, state, err := s.workState(w, n)
	switch {
	case err != nil:
	case status == http.StatusGone:
		s.checkNotLost(w)
	case status == http.StatusOK:
		s.checkState(w, state)
	}
}

func (s *soak) checkState(w *submittedWork, state string) {
	s.mu.Lock()
	canceled := w.canceled
	s.mu.Unlock()
	switch {
	case state == "completed" && !s.platform.Done(w.id):
		s.addViolation("work %s (%s) is reported as completed before its tasks are done", w.id, w.kind)
	case state == "canceled" && !canceled && !w.service && w.kind != "":
		s.mu.Lock()
		s.unconfirmedCancels = append(s.unconfirmedCancels, w) // an unanswered cancellation may have taken effect
		s.mu.Unlock()
	}
}

// checkNotLost reports an accepted work as lost if it is still unknown after a delay.
func (s *soak) checkNotLost(w *submittedWork) {
	time.Sleep(lostCheckDelay)
	if status, _, err := s.workState(w, 0); err == nil && status == http.StatusGone {
		s.addViolation("work %s (%s) was accepted and is unknown", w.id, w.kind)
	}
}

func (s *soak) workState(w *submittedWork, n int) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return w.client.State(ctx, n, w.queue, w.id)
}

func (s *soak) withTimeout(f func(ctx context.Context) (int, error)) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return f(ctx)
}

// watchQueues checks that a process of a node that has served an added queue does not
// forget it.
func (s *soak) watchQueues(ctx context.Context) {
	type processKey struct {
		node   *node
		number int
	}
	highestServed := map[processKey]int{}
	for n := 0; ctx.Err() == nil; n++ {
		node := s.nodes[n%len(s.nodes)]
		node.mu.Lock()
		key := processKey{node, node.starts}
		node.mu.Unlock()
		highest := highestServed[key]
		for queue := highest; queue <= int(s.addedQueues.Load()); queue++ {
			status, _, err := s.queuePending(n, queueName(queue))
			node.mu.Lock()
			sameProcess := node.starts == key.number
			node.mu.Unlock()
			switch {
			case err != nil || !sameProcess || queue == 0:
			case status == http.StatusNotFound && queue == highest:
				s.addViolation("%s, process %d, no longer knows queue %d", node.name, key.number, queue)
			case status == http.StatusOK:
				highestServed[key] = queue
			}
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
}

func (s *soak) queuePending(n int, queue string) (int, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.client.Pending(ctx, n, queue)
}

// useWithdrawnKey keeps calling with a key that is withdrawn during the run, and checks
// that calls fail once the revoke time has passed.
func (s *soak) useWithdrawnKey(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		callStart := time.Now()
		withdrawn := s.withdrawnAt.Load()
		status, err := s.withTimeout(func(ctx context.Context) (int, error) {
			status, _, err := s.withdrawnKeyClient.Pending(ctx, n, "quotes")
			return status, err
		})
		if err == nil && status == http.StatusOK && withdrawn != nil && callStart.Sub(*withdrawn) > revokeTime {
			s.addViolation("a key is accepted %v after it was withdrawn", callStart.Sub(*withdrawn))
		}
		clock.Sleep(ctx, 50*time.Millisecond)
	}
}
