package integration

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/test/faultproxy"
)

const (
	answersDuringFault = 40 // requests to be answered while a fault lasts
	answersAfterFault  = 40
)

// peersSlow delays all messages between nodes by more time than some callers wait.
var peersSlow = fault{"slow peers", false, func(c *Cell, _ *Node) func() {
	set := func(f faultproxy.Faults) {
		for _, n := range c.Nodes {
			n.SetAllPeerFaults(f)
		}
	}
	set(faultproxy.Faults{Delay: 60 * time.Millisecond})
	return func() { set(faultproxy.Faults{}) }
}}

// peerAnswersCut closes the connections from a node to the others in the middle of an
// answer.
var peerAnswersCut = fault{"peers' answers cut", false, func(c *Cell, n *Node) func() {
	set := func(f faultproxy.Faults) {
		for _, other := range c.Others(n) {
			other.SetPeerFaults(n, f)
		}
	}
	set(faultproxy.Faults{CutAnswerAfter: 20_000})
	return func() { set(faultproxy.Faults{}) }
}}

// Guards against a caller receiving an answer that is truncated, late or that of another
// request.
func TestPromise5OwnAnswer(t *testing.T) {
	faults := []fault{
		upstreamAnswersCut, crossedAnswers, lateAnswers, peersSlow, peerAnswersCut, nodeKilled, nodePaused,
		pairOf(upstreamAnswersCut, crossedAnswers), pairOf(crossedAnswers, peersSlow), pairOf(peerAnswersCut, upstreamAnswersCut), pairOf(crossedAnswers, nodeKilled), pairOf(lateAnswers, nodePaused), pairOf(peersSlow, peerAnswersCut),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		loads := []*RequestLoad{c.StartLoad(queueQuote, 40), c.StartLoad(queueOrder, 20)}
		// Callers whose deadline passes cause answers that no caller waits for.
		c.StartShapedLoad(queueQuote, 30, LoadShape{MaxRun: 200 * time.Millisecond, Deadline: 100 * time.Millisecond})
		f.runDuring(c, c.Nodes[c.randomInt(len(c.Nodes))], func() { awaitAllDone(loads, answersDuringFault) })
		awaitAllDone(loads, answersAfterFault)
	})
}

func awaitAllDone(loads []*RequestLoad, more int64) {
	for _, l := range loads {
		l.AwaitDone(more)
	}
}

// Guards against truncated and swapped answers that are not detected: callers of a queue
// that is not idempotent must be told that the outcome is unknown.
func TestPromise5BadAnswersAreNoticed(t *testing.T) {
	for _, f := range []fault{upstreamAnswersCut, crossedAnswers} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{})
			orders := c.StartLoad(queueOrder, 40)
			orders.AwaitDone(answersDuringFault)
			end := f.inject(c, nil)
			c.Until("callers are told that the outcome is unknown", func() bool { return c.countCalls(history.Unknown, errkind.OutcomeUnknown) >= minProbes })
			end()
			orders.AwaitDone(answersAfterFault)
		})
	}
}

// countCalls returns the number of calls so far with the given outcome and error kind;
// an empty kind matches all.
func (c *Cell) countCalls(outcome history.Outcome, kind errkind.Kind) int {
	n := 0
	for _, r := range c.Recorder.Records() {
		if r.Kind == history.Call && r.Outcome == outcome && (kind == "" || r.ErrorKind == string(kind)) {
			n++
		}
	}
	return n
}
