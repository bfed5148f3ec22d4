package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/errkind"
)

const (
	loadRetryWait  = 100 * time.Millisecond
	abandonOneIn   = 40 // one in this many requests is abandoned by its caller early
	maxAnswerBytes = 8 << 10
	maxReadyAge    = 500 * time.Millisecond // maximum age of a sample by which a node counts as ready
)

// RequestLoad generates short requests for one queue. Run times, body sizes and the nodes
// called are derived from the seed; the interleaving of requests is not.
type RequestLoad struct {
	cell   *Cell
	queue  api.Queue
	shape  LoadShape
	key    Key
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup

	done   atomic.Int64 // requests with an answer
	failed atomic.Int64 // requests without an answer after all attempts, abandoned ones excluded
}

// LoadShape describes the requests of a RequestLoad.
type LoadShape struct {
	MaxRun   time.Duration // upper bound of the run times
	Deadline time.Duration // from the arrival of a request; that of the queue if 0
	Balanced bool          // call only ready nodes, as the balancer does
}

// StartLoad starts sending the given number of requests a second to a queue, with the
// first key of its team.
func (c *Cell) StartLoad(queue string, perSecond int) *RequestLoad {
	return c.StartShapedLoad(queue, perSecond, LoadShape{MaxRun: 60 * time.Millisecond})
}

// StartShapedLoad is StartLoad with requests of another shape.
func (c *Cell) StartShapedLoad(queue string, perSecond int, shape LoadShape) *RequestLoad {
	q := c.Queue(queue)
	ctx, cancel := context.WithCancel(c.ctx)
	l := &RequestLoad{cell: c, queue: q, shape: shape, key: c.keys[q.Team], ctx: ctx, cancel: cancel}
	if q.Open {
		l.key = Key{}
	}
	c.mu.Lock()
	rng := rand.New(rand.NewPCG(c.Seed, uint64(len(c.loads)+1)))
	c.loads = append(c.loads, l)
	c.mu.Unlock()
	l.calls.Go(func() { l.run(rng, time.Second/time.Duration(perSecond)) })
	return l
}

// Queue returns a queue of the initial configuration.
func (c *Cell) Queue(name string) api.Queue {
	c.t.Helper()
	i := slices.IndexFunc(c.Config.Queues, func(q api.Queue) bool { return q.Name == name })
	if i < 0 {
		c.t.Fatalf("queue %q does not exist", name)
	}
	return c.Config.Queues[i]
}

// Stop stops the load and waits for the calls in progress.
func (l *RequestLoad) Stop() {
	l.cancel()
	l.calls.Wait()
}

// AwaitDone waits until the given number of further requests have been answered.
func (l *RequestLoad) AwaitDone(more int64) {
	l.cell.t.Helper()
	want := l.done.Load() + more
	l.cell.Until(fmt.Sprintf("%d more requests on %s are answered", more, l.queue.Name), func() bool { return l.done.Load() >= want })
}

func (l *RequestLoad) run(rng *rand.Rand, mean time.Duration) {
	for {
		wait := time.Duration(rng.ExpFloat64() * float64(mean))
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(wait):
		}
		firstNode := rng.IntN(1 << 16)
		body := requestBody(rng.IntN(int(l.shape.MaxRun.Milliseconds())), rng.IntN(maxAnswerBytes), rng.Uint64())
		abandon := rng.IntN(abandonOneIn) == 0
		l.calls.Go(func() { l.request(firstNode, body, abandon) })
	}
}

// requestBody returns a body that tells the stand-in executor the run time and the size
// of the answer. The number n makes the body unique.
func requestBody(delayMs, answerBytes int, n uint64) []byte {
	data, _ := json.Marshal(map[string]any{"delay_ms": delayMs, "answer_bytes": answerBytes, "n": n}) // plain values
	return data
}

// request sends one request to the node with number firstNode modulo the number of nodes.
// Until the deadline it retries through the next nodes with the same request ID if the
// request did not run or is idempotent.
func (l *RequestLoad) request(firstNode int, body []byte, abandon bool) {
	timeout := callTimeout
	if abandon {
		timeout = loadRetryWait / 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r := client.Request{Queue: l.queue.Name, ID: NewID(time.Now()), ContentType: "application/json", Body: body}
	if l.shape.Deadline > 0 {
		r.Deadline = time.Now().Add(l.shape.Deadline)
	}
	deadline := time.Now().Add(time.Duration(l.queue.DeadlineMs) * time.Millisecond)
	for try := 0; ctx.Err() == nil && time.Now().Before(deadline); try++ {
		nodes := l.cell.runningNodes()
		if l.shape.Balanced {
			nodes = l.cell.readyNodes()
		}
		if len(nodes) > 0 {
			_, err := l.cell.Caller(l.key, nodes[(firstNode+try)%len(nodes)]).Send(ctx, l.queue.Team, r)
			if err == nil {
				l.done.Add(1)
				return
			}
			if !l.mayRetry(errkind.From(err)) {
				break
			}
		}
		time.Sleep(loadRetryWait)
	}
	if !abandon {
		l.failed.Add(1)
	}
}

// mayRetry reports whether a caller may safely retry a request after an error.
func (l *RequestLoad) mayRetry(e *errkind.Error) bool {
	if e.Outcome() == errkind.NotRun {
		return errkind.ResponseOf(e.Kind).Retryable
	}
	return l.queue.Idempotent
}

// readyNodes returns the nodes to which a balancer sends callers: those that were ready
// in a recent sample. A stopping node accepts connections for 1 s after it has become
// unready.
func (c *Cell) readyNodes() []*Node {
	var out []*Node
	for _, n := range c.runningNodes() {
		n.mu.Lock()
		ready, requestedAt := n.state.Ready, n.sampledAt
		n.mu.Unlock()
		if ready && c.Recorder.Now()-requestedAt < maxReadyAge {
			out = append(out, n)
		}
	}
	return out
}

// NewID returns a request ID with the given creation time.
func NewID(at time.Time) string {
	u := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	return u.String()
}
