package cellnode

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
)

// silentSuccessors counts the requests to take the cell over, which it doesn't answer.
type silentSuccessors struct{ asked atomic.Int32 }

func (s *silentSuccessors) handle(ctx context.Context, _ []byte) (msgp.Marshaler, error) {
	s.asked.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a planned stop that ends before a further node is asked to claim the cell, when
// the first one doesn't answer and the cell was released late.
func TestLateReleaseAsksFurtherNodesBeforeTheStopEnds(t *testing.T) {
	t.Parallel()
	successors := &silentSuccessors{}
	c := startCell(t, 1, testOptions(2))
	owner := c.nodes[0]
	for range 2 {
		c.addNode(func(n *Node) { n.peerServer.Handle(api.MethodTakeOver, successors.handle) })
	}
	c.awaitReady()
	c.eventually(2*time.Second, "two successors", func() bool { return len(owner.node.election.Successors()) == 2 })
	owner.node.settings.GraceTime = 6 * time.Second
	owner.stop()
	time.Sleep(unreadyWait - usualReleaseTime - 50*time.Millisecond)
	c.platform.Store.Faults.SetDelay(250 * time.Millisecond) // the release takes more than the 0.3 s that are left
	<-owner.done
	c.platform.Store.Faults.SetDelay(0)
	if asked := successors.asked.Load(); asked != 2 {
		t.Errorf("asked %d nodes, want 2", asked)
	}
}
