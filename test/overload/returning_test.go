package overload

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/endivehill/endivehill/platform/standin"
)

// Size of the crowd that comes again, and of the calls beside it. The flags are for longer
// plays by hand.
var (
	returningClients = flag.Int("clients", 200, "clients of a crowd that comes again at once")
	ordinaryCalls    = flag.Int("calls", 8, "ordinary submissions beside such a crowd")
	ordinaryInterval = flag.Duration("interval", 700*time.Millisecond, "time between two of these submissions")
	processors       = flag.Int("processors", 1, "processors of a node that meets such a crowd")
	processorShare   = flag.Float64("share", 1, "share of the time in which the nodes run")
	newConnections   = flag.Bool("new-connections", false, "submit each work on a new connection")
)

// smallMachine has one processor, so that a crowd can use all of its time.
func smallMachine() machine {
	return machine{memoryMB: 144, files: 3075, env: []string{fmt.Sprintf("GOMAXPROCS=%d", *processors)}}
}

// ordinaryCaller submits works on a kept connection, and records what it gets.
type ordinaryCaller struct {
	node    *cellNode
	results map[string]int // by status, or by the kind of failure
}

// Kinds of calls without a response.
const (
	connectionEnded = "connection ended"
	noAnswer        = "no answer"
)

func (o *ordinaryCaller) submit() {
	if *newConnections {
		o.node.client.HTTP.CloseIdleConnections()
	}
	status, err := o.node.client.Submit(context.Background(), 0, cellQueue, o.node.newID(), "p", taskSteps)
	if status != 0 {
		o.results[fmt.Sprintf("%d %s", status, http.StatusText(status))]++
		return
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		o.results[connectionEnded]++
		return
	}
	o.results[noAnswer]++
}

// callBeside submits works beside a crowd that comes again at once, which stops afterwards.
func (o *ordinaryCaller) callBeside(t *testing.T, c *crowd) {
	t.Helper()
	stop := make(chan struct{})
	c.until = stop
	c.start()
	for range *ordinaryCalls {
		time.Sleep(*ordinaryInterval)
		o.submit()
	}
	close(stop)
	c.wait()
	t.Logf("ordinary submissions: %v; crowd: %s", o.results, c.summary())
}

// returningCrowd is a crowd that comes again at once.
type returningCrowd struct {
	name    string
	sending sending
	header  func(n *cellNode) func() string
}

func returningCrowds() []returningCrowd {
	submission := func(n *cellNode) func() string { return n.header }
	var out []returningCrowd
	for _, s := range sendings {
		out = append(out, returningCrowd{s.name, s, submission})
	}
	smallChunks := sendings[len(sendings)-1]
	return append(out,
		returningCrowd{"state calls with a body", smallChunks, func(n *cellNode) func() string {
			return func() string { return n.client.StateHeader(cellQueue, n.newID()) }
		}},
		returningCrowd{"unknown key", smallChunks, func(n *cellNode) func() string {
			stranger := standin.Client{Key: "unknown"}
			return func() string { return stranger.SubmissionHeader(cellQueue, n.newID()) }
		}},
	)
}

func (r returningCrowd) at(n *cellNode) *crowd {
	return &crowd{address: n.address, sending: r.sending, body: workBody(cellBodyBytes - 1), header: r.header(n), size: *returningClients}
}

// Guards against a crowd that comes again at once and takes the kept connection of an
// ordinary caller, whose submission is then lost.
func TestKeptConnectionSurvivesAReturningCrowd(t *testing.T) {
	for _, place := range []string{"entry", "owner"} {
		t.Run(place, func(t *testing.T) {
			nodes := startNodes(t, 3, smallMachine())
			until(t, "a node owns the cell", func() bool { return pick(nodes, true) != nil })
			node := pick(nodes, place == "owner")
			for _, n := range nodes {
				n.throttle(*processorShare)
			}
			for _, r := range returningCrowds() {
				t.Run(r.name, func(t *testing.T) {
					o := &ordinaryCaller{node: node, results: map[string]int{}}
					until(t, "an ordinary submission is accepted", node.submit)
					o.callBeside(t, r.at(node))
					if n := o.results[connectionEnded]; n > 0 {
						t.Errorf("%d submissions were lost with their connection", n)
					}
					until(t, "an ordinary submission is accepted after the crowd", node.submit)
				})
			}
			for _, n := range nodes {
				n.check(bounds{memoryMB: smallMachine().memoryMB, files: smallMachine().files})
			}
		})
	}
}

// pick returns a node that owns the cell, or one that doesn't; nil if there is none.
func pick(nodes []*cellNode, owner bool) *cellNode {
	for _, n := range nodes {
		if n.ownsCell() == owner {
			return n
		}
	}
	return nil
}

// Guards against a planned stop that waits for a crowd until it is killed, or that loses the
// submission of an ordinary caller.
func TestPlannedStopBesideACrowd(t *testing.T) {
	for _, r := range returningCrowds() {
		t.Run(r.name, func(t *testing.T) {
			nodes := startNodes(t, 2, smallMachine())
			until(t, "a node owns the cell", func() bool { return pick(nodes, true) != nil })
			node, other := pick(nodes, true), pick(nodes, false)
			stop := make(chan struct{})
			c := r.at(node)
			c.until = stop
			c.start()
			defer c.wait()
			defer close(stop)
			until(t, "an ordinary submission is accepted", node.submit)
			if err := node.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			until(t, "the node has stopped", func() bool { return !node.alive() })
			if state := node.cmd.ProcessState; !state.Success() {
				t.Errorf("the node has ended with %v\n%s", state, node.logTail())
			}
			until(t, "an ordinary submission is accepted by the other node", other.submit)
		})
	}
}
