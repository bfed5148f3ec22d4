package checker

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/history"
)

// keys checks guarantee 3: of every call that was accepted, and of every
// execution, that a valid key of the queue's team came with it. Executions are
// judged only if the history has calls.
func (c *check) keys() {
	for _, call := range c.calls {
		accepted := call.Outcome == history.Answered || call.Outcome == history.Accepted || call.Outcome == history.Ran
		if accepted && !c.admissible(call) {
			c.report(Keys, call, "call %q of team %q on queue %q was accepted with key %q", callName(call), call.Team, call.Queue, call.Key)
		}
	}
	if len(c.calls) == 0 {
		return
	}
	for _, r := range c.runs {
		id := identity{team: r.start.Team, request: r.start.RequestID}
		if !c.justified(id, r.start) {
			c.report(Keys, r.start, "request %q of team %q ran on queue %q without a call that a valid key accompanied", r.start.RequestID, r.start.Team, r.start.Queue)
		}
	}
	for id, starts := range c.starts {
		if !c.justified(id, starts[0]) {
			c.report(Keys, starts[0], "task %q ran without a submission that a valid key accompanied", starts[0].Task)
		}
	}
}

func callName(call history.Record) string {
	if call.Job != "" {
		return call.Job
	}
	return call.RequestID
}

// justified reports whether an admissible call for the same work began before
// it started.
func (c *check) justified(id identity, start history.Record) bool {
	return slices.ContainsFunc(c.callOf[id], func(call history.Record) bool {
		sameQueue := start.Queue == "" || call.Queue == start.Queue
		return sameQueue && call.Started <= start.At && c.admissible(call)
	})
}

// admissible reports whether a call may have been accepted: its queue was open,
// or its key was valid for the team of the queue.
func (c *check) admissible(call history.Record) bool {
	for _, q := range c.definitions(call.Queue, call.Started) {
		if q.Team != call.Team {
			continue
		}
		if q.Open || c.validKey(call, q.Team) {
			return true
		}
	}
	return false
}

func (c *check) validKey(call history.Record, team string) bool {
	k, ok := c.keyOf[call.Key]
	if !ok || k.team != team || k.granted > call.At {
		return false
	}
	return k.withdrawn == nil || call.Started <= *k.withdrawn+c.options.KeyGrace
}

// ownAnswer checks guarantee 5.
func (c *check) ownAnswer() {
	for _, call := range c.calls {
		if call.Outcome != history.Answered || call.Job != "" {
			continue
		}
		own := slices.ContainsFunc(c.runOf[callIdentity(call)], func(r *run) bool {
			return r.start.BodyDigest == call.BodyDigest && r.end != nil && r.end.AnswerDigest == call.AnswerDigest
		})
		if !own {
			c.report(OwnAnswer, call, "request %q of team %q got answer %s, which no execution of it gave", call.RequestID, call.Team, call.AnswerDigest)
		}
	}
}

// trueNotRun checks guarantee 6. An execution that another call with the same ID
// and body may have caused is no violation.
func (c *check) trueNotRun() {
	for _, call := range c.calls {
		if call.Outcome != history.NotRun {
			continue
		}
		for _, start := range c.executions(call) {
			if start.At >= call.Started && !c.otherCause(call, start) {
				c.report(TrueNotRun, call, "%q of team %q was rejected as not run (%s), but started at %v on VM %q", callName(call), call.Team, call.ErrorKind, start.At, start.VM)
				break
			}
		}
	}
}

func (c *check) executions(call history.Record) []history.Record {
	id := callIdentity(call)
	if call.Job != "" {
		return c.starts[id]
	}
	var out []history.Record
	for _, r := range c.runOf[id] {
		if r.start.BodyDigest == call.BodyDigest {
			out = append(out, r.start)
		}
	}
	return out
}

func (c *check) otherCause(call, start history.Record) bool {
	return slices.ContainsFunc(c.callOf[callIdentity(call)], func(other history.Record) bool {
		return other.Outcome != history.NotRun && other.Started <= start.At && other.BodyDigest == call.BodyDigest
	})
}

// atMostOnce checks guarantee 7.
func (c *check) atMostOnce() {
	for id, runs := range c.runOf {
		for _, r := range runs[1:] {
			if c.nonIdempotent(r.start) {
				c.report(AtMostOnce, r.start, "request %q of team %q runs again on VM %q, first on VM %q", id.request, id.team, r.start.VM, runs[0].start.VM)
			}
		}
	}
}

func (c *check) nonIdempotent(start history.Record) bool {
	definitions := c.queues[start.Queue]
	return len(definitions) > 0 && !slices.ContainsFunc(definitions, func(d definition) bool { return d.rec.Idempotent })
}

// span is an interval of time.
type span struct{ from, to time.Duration }

func (s span) overlaps(from, to time.Duration) bool { return s.from <= to && from <= s.to }

const forever = time.Duration(1<<63 - 1)

// plannedStop checks guarantee 9: a call that overlaps a planned stop, but no
// fault, has a definite end.
func (c *check) plannedStop() {
	stops := c.spans(history.NodeStopping, history.NodeStopped, func(r history.Record) string { return r.Node })
	faults := c.spans(history.FaultBegin, history.FaultEnd, func(r history.Record) string { return r.Reason })
	for _, rec := range c.records {
		if rec.Kind == history.NodeKilled {
			faults = append(faults, span{rec.At, rec.At})
		}
	}
	for _, call := range c.calls {
		interrupted := call.Outcome == history.Broken || call.Outcome == history.Unknown
		overlaps := func(s span) bool { return s.overlaps(call.Started, call.At) }
		if interrupted && slices.ContainsFunc(stops, overlaps) && !slices.ContainsFunc(faults, overlaps) {
			c.report(PlannedStop, call, "%q of team %q through node %q ended as %s (%s) in a planned stop", callName(call), call.Team, call.Node, call.Outcome, call.ErrorKind)
		}
	}
}

// spans returns the intervals between records of two kinds with the same name.
func (c *check) spans(begin, end history.Kind, name func(history.Record) string) []span {
	var out []span
	open := map[string]int{}
	for _, rec := range c.records {
		switch rec.Kind {
		case begin:
			open[name(rec)] = len(out)
			out = append(out, span{rec.At, forever})
		case end:
			if i, ok := open[name(rec)]; ok {
				out[i].to = rec.At
				delete(open, name(rec))
			}
		}
	}
	return out
}

// configuration checks guarantee 10, for nodes while they serve callers. A node
// that answers late, because it was paused, is judged by when it was asked.
func (c *check) configuration() {
	var accepted []history.Record
	inForce := map[string]int{}
	for _, rec := range c.records {
		switch rec.Kind {
		case history.ConfigAccepted:
			if n := len(accepted); n > 0 && rec.Version <= accepted[n-1].Version {
				c.report(Configuration, rec, "version %d was accepted after version %d", rec.Version, accepted[n-1].Version)
			}
			accepted = append(accepted, rec)
		case history.ConfigInForce:
			if !rec.Serving {
				continue
			}
			if rec.Version < inForce[rec.Node] {
				c.report(Configuration, rec, "node %q went back from version %d to %d", rec.Node, inForce[rec.Node], rec.Version)
			}
			inForce[rec.Node] = max(inForce[rec.Node], rec.Version)
			c.judgeStale(rec, accepted)
		}
	}
}

func (c *check) judgeStale(rec history.Record, accepted []history.Record) {
	at := rec.At
	if rec.Started > 0 {
		at = rec.Started
	}
	for _, a := range accepted {
		if a.Version > rec.Version && at > a.At+c.options.ConfigGrace {
			c.report(Configuration, rec, "node %q serves version %d, version %d was accepted %v before", rec.Node, rec.Version, a.Version, at-a.At)
			return
		}
	}
}
