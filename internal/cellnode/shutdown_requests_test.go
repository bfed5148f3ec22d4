package cellnode

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/connlimit"
	"github.com/endivehill/endivehill/platform/standin"
)

// Guards against a planned stop that ends while requests are in progress whose time limit is
// longer than the stop, because neither a submission nor the release of the cell ends.
func TestPlannedStopAnswersRequestsThatTakeLongerThanTheStop(t *testing.T) {
	for _, tt := range []struct {
		ofOwner   bool
		graceTime time.Duration
	}{
		{true, 4 * time.Second},
		{false, 4 * time.Second},
		{false, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("owner %v, grace time %v", tt.ofOwner, tt.graceTime), func(t *testing.T) {
			t.Parallel()
			c := startCell(t, 2, testOptions(2))
			n := c.nodes[0]
			if view, _ := n.node.election.View(); view.Self != tt.ofOwner {
				n = c.nodes[1]
			}
			n.node.settings.GraceTime = tt.graceTime
			c.platform.Store.Faults.SetMode(standin.Silent)
			var conns []net.Conn
			for work := range 3 {
				conns = append(conns, c.submit(t, n, work))
			}
			c.eventually(5*time.Second, "in progress", func() bool { return n.node.callerConns.Unfinished().InProgress == len(conns) })
			n.stop()
			<-n.done
			if left := n.node.callerConns.Unfinished(); left != (connlimit.Unfinished{}) {
				t.Errorf("connections without a response at the end of the node: %+v", left)
			}
			for i, conn := range conns {
				if got := statusOf(conn); got != http.StatusBadGateway && got != http.StatusServiceUnavailable {
					t.Errorf("request %d got status %d", i, got)
				}
			}
		})
	}
}

// submit sends a submission with a long time limit on a new connection to a node.
func (c *testCell) submit(t *testing.T, n *testNode, work int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	client := c.client()
	_, err = io.WriteString(conn, client.SubmissionRequest("open", testID(work), time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}
