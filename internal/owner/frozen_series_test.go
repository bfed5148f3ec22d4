package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
)

// freezingPeers are the calls of a process that freezes: those in flight go on at their callees,
// which see an open connection, and nothing is sent or received any more.
type freezingPeers struct {
	node   *seriesNode
	frozen context.Context
}

func (p freezingPeers) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	if p.frozen.Err() != nil {
		return errProcessEnded
	}
	err := callHandler(ctx, p.node.series.node(address).owner, method, in, out)
	if p.frozen.Err() != nil {
		return errProcessEnded
	}
	return err
}

// Advise implements Adviser.
func (p freezingPeers) Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	answer, err := p.node.Advise(ctx, call)
	if p.frozen.Err() != nil {
		return nil, errProcessEnded
	}
	return answer, err
}

// Guards against a long-running task that waits for as long as owners freeze, or lose their VMs,
// one after the other: the answers to their calls arrive before they are replaced.
func TestLongRunningTaskIsPlacedByOwnersThatFreeze(t *testing.T) {
	const (
		tenure    = 600 * time.Millisecond
		takeover  = 700 * time.Millisecond
		waitLimit = 15 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		s := newTenureSeries(t)
		defer time.Sleep(time.Minute) // the calls of all owners end
		began := time.Now()
		for epoch := 1; len(s.started) == 0; epoch++ {
			if waited := time.Since(began); waited > waitLimit {
				t.Fatalf("the task is not started after %v and %d owners", waited, epoch)
			}
			address := fmt.Sprintf("n%d", epoch%seriesNodes)
			n := s.node(address)
			frozen, freeze := context.WithCancel(context.Background())
			peers := freezingPeers{n, frozen}
			n.owner.options.Peers, n.owner.options.Adviser = peers, peers
			n.owner.relay.options.Peers = peers
			time.AfterFunc(tenure, freeze)
			s.runTenure(address, epoch<<20, tenure, epoch%seriesGroups)
			time.Sleep(takeover)
			s.startProcess(address)
		}
	})
}
