package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/history"
)

const (
	readyzInterval = 20 * time.Millisecond
	readyzTimeout  = time.Second
)

// balancedShape is the shape of a load that comes through a balancer.
var balancedShape = LoadShape{MaxRun: 60 * time.Millisecond, Balanced: true}

// Guards against a planned stop that interrupts a running request, loses a queued one or
// leaves a partition without an owner. Each node is stopped in turn under load.
func TestPromise9PlannedStop(t *testing.T) {
	none := fault{"none", false, func(*Cell, *Node) func() { return func() {} }}
	for _, f := range []fault{none, storeSlow, storeAnswersLost, lateAnswers, peersSlow, executorsDraining} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{})
			loads := []*RequestLoad{
				c.StartShapedLoad(queueQuote, 20, balancedShape), c.StartShapedLoad(queueOrder, 20, balancedShape), c.StartShapedLoad(queuePublic, 10, balancedShape),
				// Some of these run for longer than the listener stays open.
				c.StartShapedLoad(queueOrder, 5, LoadShape{MaxRun: 2 * time.Second, Balanced: true}),
			}
			awaitAllDone(loads, minProbes)
			end := f.inject(c, c.Nodes[0])
			for _, n := range c.Nodes {
				awaitRefusal := c.watchReadyz(n)
				n.Stop()
				awaitRefusal()
				awaitAllDone(loads, minProbes)
				n.Start()
				c.AwaitServing()
			}
			end()
			for _, l := range loads {
				l.Stop()
				if n := l.failed.Load(); n > 0 {
					t.Errorf("%d of %d requests on %s were not answered", n, n+l.done.Load(), l.queue.Name)
				}
			}
			if n := c.countCalls(history.Unknown, ""); n > 0 {
				t.Errorf("%d calls ended with an unknown outcome", n)
			}
			if t.Failed() {
				t.Logf("calls without an answer:\n%s", strings.Join(c.unansweredCalls(), "\n"))
			}
		})
	}
}

// unansweredCalls describes the calls with an unknown outcome, and all calls of the requests
// that were never answered.
func (c *Cell) unansweredCalls() []string {
	records := c.Recorder.Records()
	answered := map[string]bool{}
	for _, r := range records {
		if r.Kind == history.Call && r.Outcome == history.Answered {
			answered[r.RequestID] = true
		}
	}
	var out []string
	for _, r := range records {
		if r.Kind == history.Call && (r.Outcome == history.Unknown || !answered[r.RequestID]) {
			out = append(out, fmt.Sprintf("%8.3fs to %8.3fs: %s to %s on %s: %s (%s)", r.Started.Seconds(), r.At.Seconds(), r.RequestID, r.Node, r.Queue, r.Outcome, r.ErrorKind))
		}
	}
	return out
}

// Guards against a planned stop that interrupts requests while another node fails.
func TestPromise9PlannedStopWithFault(t *testing.T) {
	faults := []fault{nodeKilled, nodePaused, storeUnreachable, peerRequestsDropped, pairOf(nodeKilled, storeAnswersLost), pairOf(nodePaused, storeSlow)}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		loads := []*RequestLoad{c.StartShapedLoad(queueQuote, 20, balancedShape), c.StartShapedLoad(queueOrder, 20, balancedShape)}
		awaitAllDone(loads, minProbes)
		faulty := c.Owner("desk-executors-0")
		stopped := c.Others(faulty)[c.randomInt(len(c.Nodes)-1)]
		f.runDuring(c, faulty, stopped.Stop)
		stopped.Start()
		c.AwaitServing()
		awaitAllDone(loads, answersAfterFault)
	})
}

// watchReadyz probes the readiness of a node until its address refuses connections. The
// returned function waits for that and fails the test unless the node reported before that
// it was not ready.
func (c *Cell) watchReadyz(n *Node) func() {
	ended := make(chan bool, 1)
	url := "http://" + n.HTTPAddress() + "/readyz"
	c.background.Go(func() {
		unready := false
		for c.ctx.Err() == nil {
			status, err := getStatus(url)
			if err != nil {
				break
			}
			unready = unready || status == http.StatusServiceUnavailable
			time.Sleep(readyzInterval)
		}
		ended <- unready
	})
	return func() {
		c.t.Helper()
		if !<-ended {
			c.t.Errorf("%s closed its listener before it had become unready", n.Name)
		}
	}
}

func getStatus(url string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyzTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
