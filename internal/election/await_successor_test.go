package election

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Guards against a fit owner whose stop leaves the cell to a node that isn't fit although a fit
// one is about to start, and against a stop that waits without reason or goes on owning a cell
// without the table service.
func TestStoppingOwnerAwaitsAFitSuccessor(t *testing.T) {
	const limit, later = 2 * time.Second, 600 * time.Millisecond
	stopping := func(p *api.OwnerPing) { p.Stopping = true }
	neverUsedStore := func(p *api.OwnerPing) { p.StoreAgeMs = p.UptimeMs }
	for _, tt := range []struct {
		name      string
		own       Size
		load      Load
		others    func(a *Agent)
		later     func(a *Agent) // happens after the time later
		storeLost bool           // at the same time
		want      time.Duration
	}{
		{name: "no other node", own: fitNode, load: testLoad},
		{name: "fit node", own: fitNode, load: testLoad, others: func(a *Agent) {
			addMember(a, "small", smallNode, nil)
			addMember(a, "fit", fitNode, nil)
		}},
		{name: "need unknown", own: fitNode, others: func(a *Agent) { addMember(a, "small", smallNode, nil) }},
		{name: "equal nodes, none fit", own: smallNode, load: testLoad, others: func(a *Agent) { addMember(a, "small", smallNode, nil) }},
		{name: "equal nodes, all fit", own: fitNode, load: testLoad, others: func(a *Agent) { addMember(a, "fit", fitNode, nil) }},
		{name: "other nodes gone", own: fitNode, load: testLoad, others: func(a *Agent) {
			addMember(a, "fit", fitNode, stopping)
			a.members["fit"].lastPingAt -= memberExpiry + time.Millisecond
		}},
		{name: "only unfit nodes", own: fitNode, load: testLoad, others: func(a *Agent) { addMember(a, "small", smallNode, nil) }, want: limit},
		{name: "only stopping nodes", own: fitNode, load: testLoad, others: func(a *Agent) { addMember(a, "fit", fitNode, stopping) }, want: limit},
		{name: "fit node has rejected", own: fitNode, load: testLoad, others: func(a *Agent) {
			addMember(a, "fit", fitNode, nil)
			a.members["fit"].rejectsTakeOver = true
		}, want: limit},
		{
			name: "fit node starts", own: fitNode, load: testLoad, others: func(a *Agent) { addMember(a, "small", smallNode, nil) },
			later: func(a *Agent) { addMember(a, "fit", fitNode, nil) }, want: later,
		},
		{
			name: "fit node restarts", own: fitNode, load: testLoad, others: func(a *Agent) { addMember(a, "fit", fitNode, stopping) },
			later: func(a *Agent) { addMember(a, "fit", fitNode, func(p *api.OwnerPing) { p.Incarnation = "next" }) }, want: later,
		},
		{
			name: "fit node starts without the store", own: fitNode, load: testLoad, others: func(a *Agent) { addMember(a, "small", smallNode, nil) },
			later: func(a *Agent) { addMember(a, "fit", fitNode, neverUsedStore) }, want: limit,
		},
		{
			name: "store lost", own: fitNode, load: testLoad, others: func(a *Agent) { addMember(a, "small", smallNode, nil) },
			storeLost: true, want: later,
		},
		{
			name: "cell lost", own: fitNode, load: testLoad, others: func(a *Agent) { addMember(a, "small", smallNode, nil) },
			later: func(a *Agent) { a.isOwner = false }, want: later,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _ := ownerOf(t, tt.own, tt.load, 0, 0)
				a.options.Clock = bubbleClock{time.Now().Add(-time.Minute)}
				a.ownerSince, a.load = a.now(), newLoadRecord(tt.load, a.now(), nil)
				var storeLost atomic.Bool
				a.options.LastStoreAnswer = func() time.Duration {
					if storeLost.Load() {
						return a.now() - storeLostAfter - time.Millisecond
					}
					return a.now()
				}
				if tt.others != nil {
					tt.others(a)
				}
				a.Stop(0)
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				began, ended := time.Now(), make(chan time.Time, 1)
				go func() {
					a.AwaitFitSuccessor(ctx)
					ended <- time.Now()
				}()
				time.Sleep(later - time.Millisecond) // between two checks
				synctest.Wait()
				storeLost.Store(tt.storeLost)
				if tt.later != nil {
					a.mu.Lock()
					tt.later(a)
					a.mu.Unlock()
				}
				if took := (<-ended).Sub(began); took < tt.want || took > tt.want+successorPollInterval {
					t.Errorf("waited %v, want %v", took, tt.want)
				}
			})
		})
	}
}

// Guards against a stop of a node that is no owner, or has lost the cell, and waits.
func TestStopOfANodeThatIsNoOwnerDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := ownerOf(t, fitNode, testLoad, 0, 0)
		a.isOwner = false
		addMember(a, "small", smallNode, nil)
		began := time.Now()
		a.AwaitFitSuccessor(t.Context())
		if took := time.Since(began); took != 0 {
			t.Errorf("waited %v", took)
		}
	})
}

// Guards against a release to a fit node that has not reached the table service since its start.
func TestSuccessorHasUsedTheStore(t *testing.T) {
	a, _ := ownerOf(t, fitNode, testLoad, time.Second, 0)
	stronger := fitNode
	stronger.CPUMillis *= 2
	addMember(a, "new", stronger, func(p *api.OwnerPing) { p.StoreAgeMs = p.UptimeMs })
	addMember(a, "small", smallNode, nil)
	addMember(a, "fit", fitNode, nil)
	if got := a.Successors(); len(got) != 3 || got[0] != "fit" || got[2] != "new" {
		t.Errorf("successors %v", got)
	}
}
