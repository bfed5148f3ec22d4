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

// Load of the soak.
const (
	submitters   = 6
	submitPause  = 250 * time.Millisecond // of a submitter between two works on average
	maxTries     = 6
	retryPause   = 150 * time.Millisecond
	callTime     = 3 * time.Second
	lostAfter    = 3 * time.Second // an accepted work that is unknown twice, so far apart, is lost
	cancelShare  = 0.1
	standingTime = 5 * time.Second // for which a long-running work runs
)

// sent is a work that a submitter has sent.
type sent struct {
	id, queue string
	kind      string
	accepted  bool
	canceled  bool
	hopeless  bool // its tasks always fail
	standing  bool // its tasks run until they are canceled
}

// shapes are the kinds of works.
var shapes = []struct {
	kind  string
	steps func(r *rand.Rand) []standin.Step
}{
	{"short", func(r *rand.Rand) []standin.Step { return []standin.Step{tasks(1+r.IntN(4), 500, 150)} }},
	{"chain", func(r *rand.Rand) []standin.Step {
		second := tasks(1+r.IntN(3), 1000, 200)
		second.After = []int{0}
		return []standin.Step{tasks(2, 500, 150), second}
	}},
	{"batch", func(r *rand.Rand) []standin.Step {
		s := tasks(2+r.IntN(6), 1500, 1500)
		s.Checkpoints = true
		return []standin.Step{s}
	}},
	{"gang", func(r *rand.Rand) []standin.Step {
		s := tasks(2+r.IntN(3), 2000, 800)
		s.Gang = true
		return []standin.Step{s}
	}},
	{"standing", func(r *rand.Rand) []standin.Step {
		s := tasks(1+r.IntN(3), 500, 100)
		s.LongRunning = true
		return []standin.Step{s}
	}},
	{"hopeless", func(*rand.Rand) []standin.Step {
		s := tasks(2, 500, 100)
		s.Fails = true
		return []standin.Step{s}
	}},
}

func tasks(count, cpuMillis, lengthMs int) standin.Step {
	return standin.Step{
		Count: count, Size: api.Resources{CpuMillis: cpuMillis, MemoryMb: 256}, Length: time.Duration(lengthMs) * time.Millisecond,
	}
}

// load sends works until ctx ends.
func (s *soak) load(ctx context.Context) {
	for k := range submitters {
		s.clients.Go(func() {
			r := s.random(fmt.Sprintf("submitter %d", k))
			for n := 0; ctx.Err() == nil; n++ {
				s.submit(r, k, n)
				clock.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(submitPause)))
			}
		})
	}
	s.clients.Go(func() { s.watchQueues(ctx) })
	s.clients.Go(func() { s.useWithdrawnKey(ctx) })
}

// submit sends one work, again while it is neither accepted nor refused for good.
func (s *soak) submit(r *rand.Rand, submitter, number int) {
	shape := shapes[r.IntN(len(shapes))]
	w := &sent{
		id: fmt.Sprintf("%08x%08x", submitter+1, number), queue: []string{"quotes", "batch"}[r.IntN(2)], kind: shape.kind,
		hopeless: shape.kind == "hopeless", standing: shape.kind == "standing",
	}
	if w.hopeless {
		w.queue = "hopeless" // the others may fail often without fault of their own
	}
	steps := shape.steps(r)
	unknown := false
	for try := range maxTries {
		status, err := s.withTimeout(func(ctx context.Context) (int, error) {
			return s.client.Submit(ctx, r.IntN(len(s.nodes)), w.queue, w.id, "payload", steps)
		})
		switch {
		case err == nil && status == http.StatusOK:
			w.accepted = true
			s.keep(w)
			s.after(r, w)
			return
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		case err == nil && status < http.StatusInternalServerError:
			s.violation("work %s: status %d", w.id, status)
			return
		default:
			unknown = true
		}
		time.Sleep(time.Duration(try+1) * retryPause)
	}
	if unknown {
		return
	}
	s.world.Refused(w.id)
}

// after cancels some works, and asks for the state of some.
func (s *soak) after(r *rand.Rand, w *sent) {
	switch {
	case w.standing:
		s.clients.Go(func() {
			time.Sleep(standingTime)
			s.cancel(w)
		})
	case r.Float64() < cancelShare:
		s.cancel(w)
	case r.Float64() < 0.5:
		s.look(w, r.IntN(len(s.nodes)))
	}
}

// cancel cancels a work until that is confirmed.
func (s *soak) cancel(w *sent) {
	for try := range 4 * maxTries {
		status, err := s.withTimeout(func(ctx context.Context) (int, error) {
			return s.client.Cancel(ctx, try, w.queue, w.id)
		})
		if err == nil && status == http.StatusOK {
			s.mu.Lock()
			w.canceled = true
			s.mu.Unlock()
			return
		}
		if err == nil && status == http.StatusGone {
			s.checkKnown(w)
			return
		}
		time.Sleep(2 * retryPause)
	}
	s.violation("work %s: the cancellation was not confirmed", w.id)
}

// look asks for the state of a work and checks it.
func (s *soak) look(w *sent, n int) {
	status, state, err := s.state(w, n)
	switch {
	case err != nil:
	case status == http.StatusGone:
		s.checkKnown(w)
	case status == http.StatusOK:
		s.checkState(w, state)
	}
}

func (s *soak) checkState(w *sent, state string) {
	s.mu.Lock()
	canceled := w.canceled
	s.mu.Unlock()
	switch {
	case state == "completed" && !s.world.Done(w.id):
		s.violation("work %s (%s) is shown as completed before its tasks are done", w.id, w.kind)
	case state == "canceled" && !canceled && !w.standing && w.kind != "":
		s.mu.Lock()
		s.doubtful = append(s.doubtful, w) // a cancellation without an answer may have been carried out
		s.mu.Unlock()
	}
}

// checkKnown reports a work as lost if it is not known after some time either.
func (s *soak) checkKnown(w *sent) {
	time.Sleep(lostAfter)
	if status, _, err := s.state(w, 0); err == nil && status == http.StatusGone {
		s.violation("work %s (%s) was accepted and is not known", w.id, w.kind)
	}
}

func (s *soak) state(w *sent, n int) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	return s.client.State(ctx, n, w.queue, w.id)
}

func (s *soak) withTimeout(f func(ctx context.Context) (int, error)) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	return f(ctx)
}

// watchQueues checks that a node that has shown a new queue goes on showing it.
func (s *soak) watchQueues(ctx context.Context) {
	type life struct {
		node *node
		life int
	}
	shown := map[life]int{}
	for n := 0; ctx.Err() == nil; n++ {
		node := s.nodes[n%len(s.nodes)]
		node.mu.Lock()
		key := life{node, node.life}
		node.mu.Unlock()
		highest := shown[key]
		for k := highest; k <= int(s.queues.Load()); k++ {
			status, _, err := s.pending(n, queueName(k))
			node.mu.Lock()
			same := node.life == key.life
			node.mu.Unlock()
			switch {
			case err != nil || !same || k == 0:
			case status == http.StatusNotFound && k == highest:
				s.violation("%s, life %d, no longer shows queue %d", node.name, key.life, k)
			case status == http.StatusOK:
				shown[key] = k
			}
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
}

func (s *soak) pending(n int, queue string) (int, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	return s.client.Pending(ctx, n, queue)
}

// useWithdrawnKey goes on calling with a key that has been withdrawn.
func (s *soak) useWithdrawnKey(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		began := time.Now()
		withdrawn := s.withdrawn.Load()
		status, err := s.withTimeout(func(ctx context.Context) (int, error) {
			status, _, err := s.former.Pending(ctx, n, "quotes")
			return status, err
		})
		if err == nil && status == http.StatusOK && withdrawn != nil && began.Sub(*withdrawn) > revokeTime {
			s.violation("a key works %v after it was withdrawn", began.Sub(*withdrawn))
		}
		clock.Sleep(ctx, 50*time.Millisecond)
	}
}
