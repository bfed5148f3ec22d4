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
	loadRetryWait = 100 * time.Millisecond
	abandonOneIn  = 40 // requests whose caller gives up early
	maxAnswer     = 8 << 10
	balancerDelay = 500 * time.Millisecond
)

// Load is a generator of short requests for one queue. Request IDs, run times and
// the nodes called follow from the seed, but not what happens at the same time.
type Load struct {
	cell   *Cell
	queue  api.Queue
	shape  Shape
	key    Key
	ctx    context.Context
	cancel context.CancelFunc
	ended  sync.WaitGroup

	done   atomic.Int64 // requests with an answer
	failed atomic.Int64 // requests without one after all attempts, not abandoned
}

// Shape of the requests of a Load.
type Shape struct {
	MaxRun   time.Duration // run times are below it
	Deadline time.Duration // from the arrival of a request; that of the queue if 0
	Balanced bool          // call only nodes that are ready, as the balancer does
}

// Load starts a load of the given number of requests a second on a queue, with
// the first key of its team.
func (c *Cell) Load(queue string, perSecond int) *Load {
	return c.ShapedLoad(queue, perSecond, Shape{MaxRun: 60 * time.Millisecond})
}

// ShapedLoad is Load with requests of another shape.
func (c *Cell) ShapedLoad(queue string, perSecond int, shape Shape) *Load {
	q := c.Queue(queue)
	ctx, cancel := context.WithCancel(c.ctx)
	l := &Load{cell: c, queue: q, shape: shape, key: c.keys[q.Team], ctx: ctx, cancel: cancel}
	if q.Open {
		l.key = Key{}
	}
	c.mu.Lock()
	rng := rand.New(rand.NewPCG(c.Seed, uint64(len(c.loads)+1)))
	c.loads = append(c.loads, l)
	c.mu.Unlock()
	l.ended.Go(func() { l.run(rng, time.Second/time.Duration(perSecond)) })
	return l
}

// Queue returns a queue of the first configuration.
func (c *Cell) Queue(name string) api.Queue {
	c.t.Helper()
	i := slices.IndexFunc(c.Config.Queues, func(q api.Queue) bool { return q.Name == name })
	if i < 0 {
		c.t.Fatalf("queue %q does not exist", name)
	}
	return c.Config.Queues[i]
}

// Stop ends the load and waits for its calls.
func (l *Load) Stop() {
	l.cancel()
	l.ended.Wait()
}

// AwaitDone waits until that many further requests were answered.
func (l *Load) AwaitDone(more int64) {
	l.cell.t.Helper()
	want := l.done.Load() + more
	l.cell.Until(fmt.Sprintf("%d more requests on %s are answered", more, l.queue.Name), func() bool { return l.done.Load() >= want })
}

func (l *Load) run(rng *rand.Rand, mean time.Duration) {
	for {
		wait := time.Duration(rng.ExpFloat64() * float64(mean))
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(wait):
		}
		first := rng.IntN(1 << 16)
		body := orderBody(rng.IntN(int(l.shape.MaxRun.Milliseconds())), rng.IntN(maxAnswer), rng.Uint64())
		abandon := rng.IntN(abandonOneIn) == 0
		l.ended.Go(func() { l.request(first, body, abandon) })
	}
}

// orderBody returns a body that asks the stand-in executor for a run time and an
// answer of a size. The number makes it unlike the others.
func orderBody(delayMs, answerBytes int, n uint64) []byte {
	data, _ := json.Marshal(map[string]any{"delay_ms": delayMs, "answer_bytes": answerBytes, "n": n}) // plain values
	return data
}

// request sends one request and, as a careful caller does, repeats it with its ID
// through other nodes, until its deadline, if it did not run or may run again.
func (l *Load) request(first int, body []byte, abandon bool) {
	within := callTimeout
	if abandon {
		within = loadRetryWait / 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r := client.Request{Queue: l.queue.Name, ID: NewID(time.Now()), ContentType: "application/json", Body: body}
	if l.shape.Deadline > 0 {
		r.Deadline = time.Now().Add(l.shape.Deadline)
	}
	deadline := time.Now().Add(time.Duration(l.queue.DeadlineMs) * time.Millisecond)
	for try := 0; ctx.Err() == nil && time.Now().Before(deadline); try++ {
		nodes := l.cell.running()
		if l.shape.Balanced {
			nodes = l.cell.balanced()
		}
		if len(nodes) > 0 {
			_, err := l.cell.Caller(l.key, nodes[(first+try)%len(nodes)]).Send(ctx, l.queue.Team, r)
			if err == nil {
				l.done.Add(1)
				return
			}
			if !l.mayRepeat(errkind.From(err)) {
				break
			}
		}
		time.Sleep(loadRetryWait)
	}
	if !abandon {
		l.failed.Add(1)
	}
}

// mayRepeat reports whether a careful caller repeats a request after an error.
func (l *Load) mayRepeat(e *errkind.Error) bool {
	if e.Outcome() == errkind.NotRun {
		return errkind.AnswerOf(e.Kind).Retryable
	}
	return l.queue.Idempotent
}

// balanced returns the nodes to which a balancer sends callers: those that were
// ready when they were last asked, not long ago. A stopping node stays open for
// 1 s after it has become unready.
func (c *Cell) balanced() []*Node {
	var out []*Node
	for _, n := range c.running() {
		n.mu.Lock()
		ready, asked := n.state.Ready, n.asked
		n.mu.Unlock()
		if ready && c.Recorder.Now()-asked < balancerDelay {
			out = append(out, n)
		}
	}
	return out
}

// NewID returns a request ID made at the given time.
func NewID(at time.Time) string {
	u := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	return u.String()
}
