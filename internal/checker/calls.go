package checker

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/history"
)

// checkAuthorization checks guarantee 3: every accepted call was authorized, and
// every execution follows an authorized call for the same work. Executions are
// checked only if the history has calls.
func (c *evaluation) checkAuthorization() {
	for _, call := range c.calls {
		accepted := call.Outcome == history.Answered || call.Outcome == history.Accepted || call.Outcome == history.Ran
		if accepted && !c.authorized(call) {
			c.addViolation(Authorization, call, "call %q of team %q on queue %q was accepted with key %q", calledWork(call), call.Team, call.Queue, call.Key)
		}
	}
	if len(c.calls) == 0 {
		return
	}
	for _, exec := range c.executions {
		id := workID{team: exec.start.Team, request: exec.start.RequestID}
		if !c.hasAuthorizedCall(id, exec.start) {
			c.addViolation(Authorization, exec.start, "request %q of team %q ran on queue %q without a call that carried a valid key", exec.start.RequestID, exec.start.Team, exec.start.Queue)
		}
	}
	for id, starts := range c.taskStartsOf {
		if !c.hasAuthorizedCall(id, starts[0]) {
			c.addViolation(Authorization, starts[0], "task %q ran without a submission that carried a valid key", starts[0].Task)
		}
	}
}

func calledWork(call history.Record) string {
	if call.Job != "" {
		return call.Job
	}
	return call.RequestID
}

// hasAuthorizedCall reports whether an authorized call for the work began before
// the work started.
func (c *evaluation) hasAuthorizedCall(id workID, start history.Record) bool {
	return slices.ContainsFunc(c.callsOf[id], func(call history.Record) bool {
		sameQueue := start.Queue == "" || call.Queue == start.Queue
		return sameQueue && call.Started <= start.At && c.authorized(call)
	})
}

// authorized reports whether a node was allowed to accept a call: the queue was
// open, or the key was valid for the team of the queue.
func (c *evaluation) authorized(call history.Record) bool {
	for _, q := range c.queueVersionsAt(call.Queue, call.Started) {
		if q.Team != call.Team {
			continue
		}
		if q.Open || c.validKey(call, q.Team) {
			return true
		}
	}
	return false
}

func (c *evaluation) validKey(call history.Record, team string) bool {
	k, ok := c.keyPeriods[call.Key]
	if !ok || k.team != team || k.granted > call.At {
		return false
	}
	return k.withdrawn == nil || call.Started <= *k.withdrawn+c.options.KeyGrace
}

// checkOwnAnswer checks guarantee 5.
func (c *evaluation) checkOwnAnswer() {
	for _, call := range c.calls {
		if call.Outcome != history.Answered || call.Job != "" {
			continue
		}
		matches := slices.ContainsFunc(c.executionsOf[workIDOfCall(call)], func(r *execution) bool {
			return r.start.BodyDigest == call.BodyDigest && r.end != nil && r.end.AnswerDigest == call.AnswerDigest
		})
		if !matches {
			c.addViolation(OwnAnswer, call, "request %q of team %q got answer %s, which no execution of the request returned", call.RequestID, call.Team, call.AnswerDigest)
		}
	}
}

// checkTrueNotRun checks guarantee 6. An execution that another call with the same
// ID and body may have caused is not a violation.
func (c *evaluation) checkTrueNotRun() {
	for _, call := range c.calls {
		if call.Outcome != history.NotRun {
			continue
		}
		for _, start := range c.executionStarts(call) {
			if start.At >= call.Started && !c.causedByOtherCall(call, start) {
				c.addViolation(TrueNotRun, call, "%q of team %q was reported as not run (%s), but started at %v on VM %q", calledWork(call), call.Team, call.ErrorKind, start.At, start.VM)
				break
			}
		}
	}
}

func (c *evaluation) executionStarts(call history.Record) []history.Record {
	id := workIDOfCall(call)
	if call.Job != "" {
		return c.taskStartsOf[id]
	}
	var out []history.Record
	for _, r := range c.executionsOf[id] {
		if r.start.BodyDigest == call.BodyDigest {
			out = append(out, r.start)
		}
	}
	return out
}

func (c *evaluation) causedByOtherCall(call, start history.Record) bool {
	return slices.ContainsFunc(c.callsOf[workIDOfCall(call)], func(other history.Record) bool {
		return other.Outcome != history.NotRun && other.Started <= start.At && other.BodyDigest == call.BodyDigest
	})
}

// checkAtMostOnce checks guarantee 7.
func (c *evaluation) checkAtMostOnce() {
	for id, runs := range c.executionsOf {
		for _, r := range runs[1:] {
			if c.nonIdempotent(r.start) {
				c.addViolation(AtMostOnce, r.start, "non-idempotent request %q of team %q ran again on VM %q after VM %q", id.request, id.team, r.start.VM, runs[0].start.VM)
			}
		}
	}
}

func (c *evaluation) nonIdempotent(start history.Record) bool {
	versions := c.queueVersions[start.Queue]
	return len(versions) > 0 && !slices.ContainsFunc(versions, func(d queueVersion) bool { return d.record.Idempotent })
}

type interval struct{ from, to time.Duration }

func (s interval) overlaps(from, to time.Duration) bool { return s.from <= to && from <= s.to }

const endOfTime = time.Duration(1<<63 - 1)

// checkPlannedStops checks guarantee 9: a call that overlaps a planned stop and no
// injected fault has a known outcome.
func (c *evaluation) checkPlannedStops() {
	stops := c.intervals(history.NodeStopping, history.NodeStopped, func(r history.Record) string { return r.Node })
	faults := c.intervals(history.FaultBegin, history.FaultEnd, func(r history.Record) string { return r.Reason })
	for _, rec := range c.records {
		if rec.Kind == history.NodeKilled {
			faults = append(faults, interval{rec.At, rec.At})
		}
	}
	for _, call := range c.calls {
		interrupted := call.Outcome == history.Broken || call.Outcome == history.Unknown
		overlaps := func(s interval) bool { return s.overlaps(call.Started, call.At) }
		if interrupted && slices.ContainsFunc(stops, overlaps) && !slices.ContainsFunc(faults, overlaps) {
			c.addViolation(PlannedStop, call, "%q of team %q through node %q ended as %s (%s) during a planned stop", calledWork(call), call.Team, call.Node, call.Outcome, call.ErrorKind)
		}
	}
}

// intervals pairs begin and end records of the same name. An interval without an
// end record lasts to endOfTime.
func (c *evaluation) intervals(begin, end history.Kind, name func(history.Record) string) []interval {
	var out []interval
	open := map[string]int{}
	for _, rec := range c.records {
		switch rec.Kind {
		case begin:
			open[name(rec)] = len(out)
			out = append(out, interval{rec.At, endOfTime})
		case end:
			if i, ok := open[name(rec)]; ok {
				out[i].to = rec.At
				delete(open, name(rec))
			}
		}
	}
	return out
}

// checkConfiguration checks guarantee 10 for nodes while they serve callers. A node
// that was paused may answer late, so the configuration must be current as of the time
// of the question.
func (c *evaluation) checkConfiguration() {
	var accepted []history.Record
	inForce := map[string]int{}
	for _, rec := range c.records {
		switch rec.Kind {
		case history.ConfigAccepted:
			if n := len(accepted); n > 0 && rec.Version <= accepted[n-1].Version {
				c.addViolation(Configuration, rec, "version %d was accepted after version %d", rec.Version, accepted[n-1].Version)
			}
			accepted = append(accepted, rec)
		case history.ConfigInForce:
			if !rec.Serving {
				continue
			}
			if rec.Version < inForce[rec.Node] {
				c.addViolation(Configuration, rec, "node %q reverted from version %d to %d", rec.Node, inForce[rec.Node], rec.Version)
			}
			inForce[rec.Node] = max(inForce[rec.Node], rec.Version)
			c.checkStaleVersion(rec, accepted)
		}
	}
}

func (c *evaluation) checkStaleVersion(rec history.Record, accepted []history.Record) {
	at := rec.At
	if rec.Started > 0 {
		at = rec.Started
	}
	for _, a := range accepted {
		if a.Version > rec.Version && at > a.At+c.options.ConfigGrace {
			c.addViolation(Configuration, rec, "node %q serves version %d although version %d was accepted %v earlier", rec.Node, rec.Version, a.Version, at-a.At)
			return
		}
	}
}
