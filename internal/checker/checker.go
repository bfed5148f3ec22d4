// Package checker verifies a recorded history against the ten guarantees of
// docs/design.md 1.2. It uses only what the stand-ins and callers recorded, never
// what the nodes report.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/history"
)

// Options are the tolerances for the delay between a change and its effect.
type Options struct {
	KeyGrace    time.Duration // time for which a withdrawn key may still be accepted
	LeaveGrace  time.Duration // time for which a leaving VM may still be given work
	ConfigGrace time.Duration // time for which a node may serve a replaced configuration
	LimitGrace  time.Duration // time for which a team may exceed a lowered limit
	// AcceptDelay is the time for which a change may already be in effect before
	// the operator learns that it was accepted and records it.
	AcceptDelay time.Duration
}

// DefaultOptions returns the targets of docs/design.md 1.2. That section sets no
// target for a lowered limit; requests in flight when a limit is lowered end by
// their deadline, which is 30 s by default.
func DefaultOptions() Options {
	return Options{
		KeyGrace:    5 * time.Second,
		LeaveGrace:  5 * time.Second,
		ConfigGrace: 4 * time.Second,
		LimitGrace:  30 * time.Second,
		AcceptDelay: 6 * time.Second,
	}
}

// Guarantee is the number of a guarantee in docs/design.md 1.2.
type Guarantee int

// The guarantees.
const (
	Capacity        Guarantee = 1  // no VM is used beyond its capacity
	SinglePlacement Guarantee = 2  // no task runs in two places at once
	Authorization   Guarantee = 3  // work runs only for the team whose key the call carried
	TeamLimits      Guarantee = 4  // no team exceeds its limit
	OwnAnswer       Guarantee = 5  // a caller gets the complete answer to its own request
	TrueNotRun      Guarantee = 6  // work reported as not run did not run
	AtMostOnce      Guarantee = 7  // a non-idempotent request runs at most once
	LeavingVM       Guarantee = 8  // a leaving VM gets no new work
	PlannedStop     Guarantee = 9  // a planned stop interrupts no request
	Configuration   Guarantee = 10 // a configuration takes effect in time and is never reverted
)

// Violation is a violated guarantee.
type Violation struct {
	Guarantee Guarantee
	At        time.Duration
	Seq       int64 // sequence number of the record that shows the violation
	Text      string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("guarantee %d at %v (record %d): %s", v.Guarantee, v.At, v.Seq, v.Text)
}

// Check returns the violations in a history, ordered by time.
func Check(records []history.Record, o Options) []Violation {
	e := &evaluation{options: o, records: slices.Clone(records)}
	slices.SortStableFunc(e.records, func(a, b history.Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Seq, b.Seq))
	})
	e.buildIndexes()
	e.checkCapacity()
	e.checkSinglePlacement()
	e.checkAuthorization()
	e.checkTeamLimits()
	e.checkOwnAnswer()
	e.checkTrueNotRun()
	e.checkAtMostOnce()
	e.checkLeavingVMs()
	e.checkPlannedStops()
	e.checkConfiguration()
	slices.SortStableFunc(e.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Seq, b.Seq))
	})
	return e.violations
}

// evaluation holds the records of one call of Check, indexed for the checks.
type evaluation struct {
	options    Options
	records    []history.Record
	violations []Violation

	calls         []history.Record
	executions    []*execution
	executionsOf  map[workID][]*execution
	taskStartsOf  map[workID][]history.Record // by job
	callsOf       map[workID][]history.Record
	queueVersions map[string][]queueVersion
	keyPeriods    map[string]keyPeriod
}

// workID identifies a request or a job of a team.
type workID struct{ team, request, job string }

// execution is one execution of a request.
type execution struct {
	start history.Record
	end   *history.Record // nil if its end was not recorded
}

// queueVersion is the definition of a queue in one configuration version.
type queueVersion struct {
	from   time.Duration
	record history.Record
}

// keyPeriod is the time for which an API key is valid for a team.
type keyPeriod struct {
	team      string
	granted   time.Duration
	withdrawn *time.Duration
}

func (e *evaluation) addViolation(g Guarantee, rec history.Record, format string, args ...any) {
	e.violations = append(e.violations, Violation{Guarantee: g, At: rec.At, Seq: rec.Seq, Text: fmt.Sprintf(format, args...)})
}

// buildIndexes indexes the records for the checks.
func (e *evaluation) buildIndexes() {
	e.executionsOf = map[workID][]*execution{}
	e.taskStartsOf = map[workID][]history.Record{}
	e.callsOf = map[workID][]history.Record{}
	e.queueVersions = map[string][]queueVersion{}
	e.keyPeriods = map[string]keyPeriod{}
	runningByID := map[int64]*execution{}
	for _, rec := range e.records {
		switch rec.Kind {
		case history.Call:
			e.calls = append(e.calls, rec)
			id := workIDOfCall(rec)
			e.callsOf[id] = append(e.callsOf[id], rec)
		case history.RequestStart:
			exec := &execution{start: rec}
			runningByID[rec.Run] = exec
			e.executions = append(e.executions, exec)
			id := workID{team: rec.Team, request: rec.RequestID}
			e.executionsOf[id] = append(e.executionsOf[id], exec)
		case history.RequestEnd:
			if exec, ok := runningByID[rec.Run]; ok {
				exec.end = &rec
			}
		case history.TaskStart:
			id := workID{team: rec.Team, job: jobOfTask(rec.Task)}
			e.taskStartsOf[id] = append(e.taskStartsOf[id], rec)
		case history.QueueDefined:
			e.queueVersions[rec.Queue] = append(e.queueVersions[rec.Queue], queueVersion{rec.At, rec})
		case history.KeyGranted:
			e.keyPeriods[rec.Key] = keyPeriod{team: rec.Team, granted: rec.At}
		case history.KeyWithdrawn:
			k := e.keyPeriods[rec.Key]
			k.withdrawn = &rec.At
			e.keyPeriods[rec.Key] = k
		}
	}
}

func workIDOfCall(rec history.Record) workID {
	if rec.Job != "" {
		return workID{team: rec.Team, job: rec.Job}
	}
	return workID{team: rec.Team, request: rec.RequestID}
}

// queueVersionsAt returns the definitions of a queue that may have been in force
// at a time.
func (e *evaluation) queueVersionsAt(queue string, at time.Duration) []history.Record {
	var out []history.Record
	versions := e.queueVersions[queue]
	for i, version := range versions {
		replaced := i+1 < len(versions) && versions[i+1].from+e.options.ConfigGrace < at
		if !replaced && version.from-e.options.AcceptDelay <= at {
			out = append(out, version.record)
		}
	}
	return out
}
