package election

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/rows"
)

// Planned stops of all nodes one after the other, again and again.
const (
	rollingNodes    = 30
	rollingFitNodes = 6
	rollingRound    = 4 * time.Second // in which each node is stopped once
	rollingServes   = 2300 * time.Millisecond
	rollingDown     = 3 * time.Second // from the stop to the next start
	rollingTime     = 60 * time.Second
	fitLoadTime     = 100 * time.Millisecond
	unfitLoadTime   = 800 * time.Millisecond
)

// commitGaps measures the time without a commit of any owner.
type commitGaps struct {
	mu      sync.Mutex
	last    time.Time // zero before the first commit
	longest time.Duration
}

func (g *commitGaps) committed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.last.IsZero() {
		g.longest = max(g.longest, time.Since(g.last))
	}
	g.last = time.Now()
}

// releasingOwner loads records, commits at intervals and releases the cell as package owner does.
type releasingOwner struct {
	fakeOwner
	gaps     *commitGaps
	agent    *Agent
	caller   fakeCaller
	loadTime time.Duration

	tenure *releasableTenure // guarded by mu of fakeOwner
}

type releasableTenure struct {
	lease  *Lease
	epoch  int
	ctx    context.Context
	end    context.CancelFunc
	loaded chan struct{}
}

func (o *releasingOwner) Run(ctx context.Context, lease *Lease) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	t := &releasableTenure{lease, lease.Epoch(), ctx, end, make(chan struct{})}
	o.mu.Lock()
	o.tenure = t
	o.mu.Unlock()
	select {
	case <-time.After(o.loadTime):
	case <-ctx.Done():
		return
	}
	close(t.loaded)
	for {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return
		}
		_, err := lease.Commit(ctx, &rows.Tx{})
		if errors.Is(err, ErrLost) {
			return
		}
		if err == nil {
			o.gaps.committed()
		}
	}
}

func (o *releasingOwner) HandOver(ctx context.Context) {
	o.mu.Lock()
	t := o.tenure
	o.mu.Unlock()
	if t == nil || t.ctx.Err() != nil {
		return
	}
	select {
	case <-t.loaded:
	case <-t.ctx.Done():
		return
	case <-ctx.Done():
		return
	}
	successors := append(o.agent.Successors(), "")
	_ = t.lease.Release(t.ctx, successors[0]) // the cell may be lost
	t.end()
	for _, address := range successors[:len(successors)-1] {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 150*time.Millisecond)
		err := o.caller.Call(callCtx, address, api.MethodTakeOver, &api.OwnerPing{Epoch: t.epoch}, &api.Empty{})
		cancel()
		if err == nil {
			return
		}
	}
}

func (o *releasingOwner) EndTenure(string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tenure != nil {
		o.tenure.end()
	}
}

// startReleasing starts a process of a node with a releasingOwner, and returns a function that
// stops it as planned.
func (e *election) startReleasing(address string, size Size, loadTime time.Duration, gaps *commitGaps) (stop func()) {
	caller := fakeCaller{e.net, address}
	owner := &releasingOwner{gaps: gaps, caller: caller, loadTime: loadTime}
	a := NewAgent(Options{
		Holder: Holder{Node: address, Incarnation: fmt.Sprint(address, e.clock.Boot()), Address: address},
		Store:  nodeStore{e.store, address}, Caller: caller, ReportUnanswered: caller.reportUnanswered, Clock: e.clock, Logger: e.output.logger(address, e.clock),
		Owner: owner, CPUMillis: size.CPUMillis, LinkKbps: size.LinkKbps, MemoryMB: size.MemoryMB, MaxOpenFiles: size.MaxOpenFiles,
		Load: func() Load { return e.load }, Config: func() (int, time.Duration) { return 1, e.clock.Boot() },
		OnOwnerConfig: func(string, int, time.Duration) {}, LastStoreAnswer: func() time.Duration { return e.store.lastAnswerTo(address, e.clock) },
	})
	owner.agent = a
	e.net.mu.Lock()
	e.net.agents[address], e.net.dead[address] = a, false
	e.net.mu.Unlock()
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Run(ctx)
	}()
	return func() {
		serves, cancel := context.WithTimeout(context.Background(), rollingServes)
		defer cancel()
		a.Stop(e.clock.Boot() + rollingServes)
		waitCtx, cancelWait := context.WithTimeout(serves, 2*time.Second)
		a.AwaitFitSuccessor(waitCtx)
		cancelWait()
		owner.HandOver(serves)
		<-serves.Done()
		e.net.mu.Lock()
		e.net.dead[address] = true
		e.net.mu.Unlock()
		end()
		<-ended
	}
}

// Guards against seconds without a commit while the nodes are stopped one after the other: the
// cell is released to nodes that are being stopped, or that aren't fit although a fit one is
// about to start.
func TestNodesStoppedOneAfterTheOtherCommit(t *testing.T) {
	const longestGap = 300 * time.Millisecond // a fit node takes some 150 ms to claim and load
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gaps := &commitGaps{}
				stopInTurn(newOwnedCell(t, testLoad), seed, gaps)
				t.Logf("no commit for up to %v", gaps.longest)
				if gaps.longest > longestGap {
					t.Errorf("no commit for %v", gaps.longest)
				}
			})
		})
	}
}

// stopInTurn runs the nodes for rollingTime and stops them in an order drawn from a seed.
func stopInTurn(e *election, seed uint64, gaps *commitGaps) {
	var nodes sync.WaitGroup
	for n, turn := range rand.New(rand.NewPCG(seed, 1)).Perm(rollingNodes) {
		address, size, loadTime := fmt.Sprint("n", n), smallNode, unfitLoadTime
		if n < rollingFitNodes {
			size, loadTime = fitNode, fitLoadTime
		}
		e.net.mu.Lock()
		e.net.delay[address] = time.Duration(1+n%7) * time.Millisecond
		e.net.mu.Unlock()
		nodes.Go(func() {
			for stopAt := rollingRound + time.Duration(turn)*rollingRound/rollingNodes; stopAt < rollingTime; stopAt += rollingRound {
				stop := e.startReleasing(address, size, loadTime, gaps)
				time.Sleep(stopAt - e.clock.Boot())
				stop()
				time.Sleep(rollingDown - rollingServes)
			}
		})
	}
	nodes.Wait()
}
