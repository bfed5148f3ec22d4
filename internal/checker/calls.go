package checker

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/history"
)

// checkAuthorization checks guarantee 3: every accepted call was authorized, and
// every execution follows an authorized call for the same work. Executions are
// checked only if the history has calls.
func (e *evaluation) checkAuthorization() {
	for _, call := range e.calls {
		accepted := call.Outcome == history.Answered || call.Outcome == history.Accepted || call.Outcome == history.Ran
		if accepted && !e.authorized(call) {
			e.addViolation(Authorization, call, "call %q of team %q on queue %q was accepted with key %q", jobOrRequestID(call), call.Team, call.Queue, call.Key)
		}
	}
	if len(e.calls) == 0 {
		return
	}
	for _, exec := range e.executions {
		id := workID{team: exec.start.Team, request: exec.start.RequestID}
		if !e.hasAuthorizedCall(id, exec.start) {
			e.addViolation(Authorization, exec.start, "request %q of team %q ran on queue %q without a call that carried a valid key", exec.start.RequestID, exec.start.Team, exec.start.Queue)
		}
	}
	for id, starts := range e.taskStartsOf {
		if !e.hasAuthorizedCall(id, starts[0]) {
			e.addViolation(Authorization, starts[0], "task %q ran without a submission that carried a valid key", starts[0].Task)
		}
	}
}

func jobOrRequestID(call history.Record) string {
	if call.Job != "" {
		return call.Job
	}
	return call.RequestID
}

// hasAuthorizedCall reports whether an authorized call for the work began before
// the work started.
func (e *evaluation) hasAuthorizedCall(id workID, start history.Record) bool {
	return slices.ContainsFunc(e.callsOf[id], func(call history.Record) bool {
		sameQueue := start.Queue == "" || call.Queue == start.Queue
		return sameQueue && call.Started <= start.At && e.authorized(call)
	})
}

// authorized reports whether a node was allowed to accept a call: the queue was
// open, or the key was valid for the team of the queue.
func (e *evaluation) authorized(call history.Record) bool {
	for _, q := range e.queueVersionsAt(call.Queue, call.Started) {
		if q.Team != call.Team {
			continue
		}
		if q.Open || e.validKey(call, q.Team) {
			return true
		}
	}
	return false
}

func (e *evaluation) validKey(call history.Record, team string) bool {
	k, ok := e.keyPeriods[call.Key]
	if !ok || k.team != team || k.granted > call.At {
		return false
	}
	return k.withdrawn == nil || call.Started <= *k.withdrawn+e.options.KeyGrace
}

// checkOwnAnswer checks guarantee 5: each answer was returned by an execution of the
// request with the same body.
func (e *evaluation) checkOwnAnswer() {
	for _, call := range e.calls {
		if call.Outcome != history.Answered || call.Job != "" {
			continue
		}
		matches := slices.ContainsFunc(e.executionsOf[workIDOfCall(call)], func(exec *execution) bool {
			return exec.start.BodyDigest == call.BodyDigest && exec.end != nil && exec.end.AnswerDigest == call.AnswerDigest
		})
		if !matches {
			e.addViolation(OwnAnswer, call, "request %q of team %q got answer %s, which no execution of the request returned", call.RequestID, call.Team, call.AnswerDigest)
		}
	}
}

// checkTrueNotRun checks guarantee 6. An execution that another call with the same
// ID and body may have caused is not a violation.
func (e *evaluation) checkTrueNotRun() {
	for _, call := range e.calls {
		if call.Outcome != history.NotRun {
			continue
		}
		for _, start := range e.workStarts(call) {
			if start.At >= call.Started && !e.causedByOtherCall(call, start) {
				e.addViolation(TrueNotRun, call, "%q of team %q was reported as not run (%s), but started at %v on VM %q", jobOrRequestID(call), call.Team, call.ErrorKind, start.At, start.VM)
				break
			}
		}
	}
}

// workStarts returns the start records of the tasks of the called job, or of the
// requests with the ID and body of the call.
func (e *evaluation) workStarts(call history.Record) []history.Record {
	id := workIDOfCall(call)
	if call.Job != "" {
		return e.taskStartsOf[id]
	}
	var out []history.Record
	for _, exec := range e.executionsOf[id] {
		if exec.start.BodyDigest == call.BodyDigest {
			out = append(out, exec.start)
		}
	}
	return out
}

// causedByOtherCall reports whether another call for the same work, which was not
// reported as not run, may have caused the start.
func (e *evaluation) causedByOtherCall(call, start history.Record) bool {
	return slices.ContainsFunc(e.callsOf[workIDOfCall(call)], func(other history.Record) bool {
		return other.Outcome != history.NotRun && other.Started <= start.At && other.BodyDigest == call.BodyDigest
	})
}

// checkAtMostOnce checks guarantee 7.
func (e *evaluation) checkAtMostOnce() {
	for id, executions := range e.executionsOf {
		for _, exec := range executions[1:] {
			if e.nonIdempotent(exec.start) {
				e.addViolation(AtMostOnce, exec.start, "non-idempotent request %q of team %q ran again on VM %q after VM %q", id.request, id.team, exec.start.VM, executions[0].start.VM)
			}
		}
	}
}

// nonIdempotent reports whether the queue of a request was non-idempotent in all its
// recorded versions.
func (e *evaluation) nonIdempotent(start history.Record) bool {
	versions := e.queueVersions[start.Queue]
	return len(versions) > 0 && !slices.ContainsFunc(versions, func(v queueVersion) bool { return v.record.Idempotent })
}

type interval struct{ from, to time.Duration }

func (i interval) overlaps(from, to time.Duration) bool { return i.from <= to && from <= i.to }

const endOfTime = time.Duration(1<<63 - 1)

// checkPlannedStops checks guarantee 9: a call that overlaps a planned stop and no
// injected fault has a known outcome.
func (e *evaluation) checkPlannedStops() {
	stops := e.intervals(history.NodeStopping, history.NodeStopped, func(r history.Record) string { return r.Node })
	faults := e.intervals(history.FaultBegin, history.FaultEnd, func(r history.Record) string { return r.Reason })
	for _, rec := range e.records {
		if rec.Kind == history.NodeKilled {
			faults = append(faults, interval{rec.At, rec.At})
		}
	}
	for _, call := range e.calls {
		interrupted := call.Outcome == history.Broken || call.Outcome == history.Unknown
		overlaps := func(i interval) bool { return i.overlaps(call.Started, call.At) }
		if interrupted && slices.ContainsFunc(stops, overlaps) && !slices.ContainsFunc(faults, overlaps) {
			e.addViolation(PlannedStop, call, "%q of team %q through node %q ended as %s (%s) during a planned stop", jobOrRequestID(call), call.Team, call.Node, call.Outcome, call.ErrorKind)
		}
	}
}

// intervals pairs begin and end records of the same name. An interval without an
// end record lasts to endOfTime.
func (e *evaluation) intervals(begin, end history.Kind, name func(history.Record) string) []interval {
	var out []interval
	open := map[string]int{}
	for _, rec := range e.records {
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

// checkConfiguration checks guarantee 10 for nodes while they serve callers. If a node
// was asked for its version, the version must be current as of the start of the query,
// because a node that was paused may answer late.
func (e *evaluation) checkConfiguration() {
	var accepted []history.Record
	inForce := map[string]int{}
	for _, rec := range e.records {
		switch rec.Kind {
		case history.ConfigAccepted:
			if n := len(accepted); n > 0 && rec.Version <= accepted[n-1].Version {
				e.addViolation(Configuration, rec, "version %d was accepted after version %d", rec.Version, accepted[n-1].Version)
			}
			accepted = append(accepted, rec)
		case history.ConfigInForce:
			if !rec.Serving {
				continue
			}
			if rec.Version < inForce[rec.Node] {
				e.addViolation(Configuration, rec, "node %q reverted from version %d to %d", rec.Node, inForce[rec.Node], rec.Version)
			}
			inForce[rec.Node] = max(inForce[rec.Node], rec.Version)
			e.checkStaleVersion(rec, accepted)
		}
	}
}

func (e *evaluation) checkStaleVersion(rec history.Record, accepted []history.Record) {
	at := rec.At
	if rec.Started > 0 {
		at = rec.Started
	}
	for _, a := range accepted {
		if a.Version > rec.Version && at > a.At+e.options.ConfigGrace {
			e.addViolation(Configuration, rec, "node %q serves version %d although version %d was accepted %v earlier", rec.Node, rec.Version, a.Version, at-a.At)
			return
		}
	}
}
