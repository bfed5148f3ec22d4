package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/work"
)

// releasedLease records the named successor.
type releasedLease struct {
	fastLease
	successor chan string
}

func (l releasedLease) Release(_ context.Context, successor string, _ ...rows.Row) error {
	l.successor <- successor
	return nil
}

// successorCalls answers the requests to claim a released cell by the node that is asked, and
// fails all other calls.
type successorCalls struct {
	answers map[string]func(ctx context.Context) error

	mu       sync.Mutex
	requests []api.OwnerPing
	asked    []string
}

func (c *successorCalls) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, _ msgp.Unmarshaler) error {
	if method != api.MethodTakeOver {
		return errors.New("no answer")
	}
	c.mu.Lock()
	c.asked = append(c.asked, address)
	if request, ok := in.(*api.OwnerPing); ok {
		c.requests = append(c.requests, *request)
	}
	c.mu.Unlock()
	return c.answers[address](ctx)
}

func accept(context.Context) error { return nil }

func reject(context.Context) error { return errkind.New(errkind.ShuttingDown, "", "stopping") }

func staySilent(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a released cell without an owner while all nodes wait for a successor that is
// being stopped or does not answer, and against a release that waits for these answers.
func TestReleasedCellIsOfferedUntilANodeAccepts(t *testing.T) {
	const epoch = 7 << 20
	for _, tt := range []struct {
		name    string
		answers map[string]func(context.Context) error
		asked   []string
		took    time.Duration // until the last request has ended
	}{
		{"accepted", map[string]func(context.Context) error{"n1": accept, "n2": accept}, []string{"n1"}, 0},
		{"rejected", map[string]func(context.Context) error{"n1": reject, "n2": reject, "n3": accept, "n4": accept}, []string{"n1", "n2", "n3"}, 0},
		{"silent", map[string]func(context.Context) error{"n1": staySilent, "n2": accept}, []string{"n1", "n2"}, notifyTimeout},
		{"all reject", map[string]func(context.Context) error{"n1": reject, "n2": reject}, []string{"n1", "n2"}, 0},
		{"all silent", map[string]func(context.Context) error{"n1": staySilent, "n2": staySilent, "n3": staySilent, "n4": staySilent}, []string{"n1", "n2", "n3"}, notifyLimit},
		{"no other node", nil, nil, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := &successorCalls{answers: tt.answers}
				lease := releasedLease{successor: make(chan string, 1)}
				o := newTenureSeries(t).node("n0").owner
				o.options.Peers = calls
				o.options.Successors = func() []string {
					var all []string
					for address := range tt.answers {
						all = append(all, address)
					}
					slices.Sort(all)
					return all
				}
				go o.runTenure(context.Background(), lease, epoch)
				time.Sleep(time.Second)
				began := time.Now()
				o.HandOver(context.Background())
				synctest.Wait()
				if took := time.Since(began); took > notifyTimeout/2 || o.currentTenure.Load() != nil {
					t.Errorf("the tenure has not ended %v after the stop", took)
				}
				if got := <-lease.successor; got != firstOrEmpty(tt.asked) {
					t.Errorf("released to %q, want %q", got, firstOrEmpty(tt.asked))
				}
				released := time.Now()
				time.Sleep(tt.took)
				synctest.Wait()
				calls.mu.Lock()
				asked := slices.Clone(calls.asked)
				calls.mu.Unlock()
				if !slices.Equal(asked, tt.asked) {
					t.Errorf("asked %v within %v, want %v", asked, time.Since(released), tt.asked)
				}
				time.Sleep(time.Minute) // all calls end
				if len(calls.asked) != len(asked) || len(calls.requests) != len(asked) {
					t.Errorf("asked %v, %d requests with an epoch", calls.asked, len(calls.requests))
				}
				for _, request := range calls.requests {
					if request.Epoch != epoch {
						t.Errorf("request of epoch %d, want %d", request.Epoch, epoch)
					}
				}
			})
		})
	}
}

// Guards against a planned stop that ends before the next owner has the results of the last
// calls for advice, and against one that waits although there is nothing to send.
func TestStopWaitsUntilTheNextOwnerHasTheResults(t *testing.T) {
	const claimedAfter = 300 * time.Millisecond
	for _, tt := range []struct {
		name    string
		results bool
		next    bool // another node claims the cell
		want    time.Duration
	}{
		{"results", true, true, claimedAfter},
		{"no results", false, true, 0},
		{"no next owner", true, false, time.Second}, // until the tickets expire
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := newCellOwners(slowAdviser{time.Second})
				first := c.takeOver("n0", 1)
				if tt.results {
					first.keepResults(newAdviceResult(work.StepID{Work: "0000000000000001"}, []string{"w1"},
						&api.AdviceAnswer{ValidMs: int((time.Second + minTicketTime).Milliseconds())}, first.options.Clock.Boot()))
				}
				c.release(1)
				first.end()
				if tt.next {
					time.AfterFunc(claimedAfter, func() { c.takeOver("n1", 2) })
				}
				began := time.Now()
				first.AwaitSent(t.Context())
				if took := time.Since(began); took < tt.want || took > tt.want+2*sentCheckInterval {
					t.Errorf("waited %v, want %v", took, tt.want)
				}
			})
		})
	}
}
