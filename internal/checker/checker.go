// Package checker judges a history by the ten guarantees of docs/design.md 1.2.
// It relies on what the stand-ins and callers recorded, not on the nodes.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/history"
)

// Options are the times within which a change must be in effect.
type Options struct {
	KeyGrace    time.Duration // a withdrawn key may still be accepted
	LeaveGrace  time.Duration // a leaving VM may still get work
	ConfigGrace time.Duration // an older configuration may still be in force
	LimitGrace  time.Duration // a team may still use more than a lowered limit
	// AcceptDelay is how long a change may be in effect before its operator
	// learns, and records, that it was accepted.
	AcceptDelay time.Duration
}

// DefaultOptions returns the targets of docs/design.md 1.2. The limit has no
// target there: requests in flight when it is lowered end by their deadline,
// which is 30 s by default.
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
	Capacity      Guarantee = 1  // no VM beyond its capacity
	SinglePlace   Guarantee = 2  // no task in two places
	Keys          Guarantee = 3  // work only for the team whose key accompanied it
	Limits        Guarantee = 4  // no team beyond its limit
	OwnAnswer     Guarantee = 5  // the complete answer to the own request
	TrueNotRun    Guarantee = 6  // "not run" is true
	AtMostOnce    Guarantee = 7  // a non-idempotent request runs at most once
	Leaving       Guarantee = 8  // a leaving VM gets no new work
	PlannedStop   Guarantee = 9  // a planned stop interrupts no request
	Configuration Guarantee = 10 // configuration in effect in time, never reverts
)

// Violation is one breach of a guarantee.
type Violation struct {
	Guarantee Guarantee
	At        time.Duration
	Seq       int64 // record that shows it
	Text      string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("guarantee %d at %v (record %d): %s", v.Guarantee, v.At, v.Seq, v.Text)
}

// Check returns the violations in a history, by time.
func Check(records []history.Record, o Options) []Violation {
	c := &check{options: o, records: slices.Clone(records)}
	slices.SortStableFunc(c.records, func(a, b history.Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Seq, b.Seq))
	})
	c.index()
	c.capacity()
	c.singlePlace()
	c.keys()
	c.limits()
	c.ownAnswer()
	c.trueNotRun()
	c.atMostOnce()
	c.leaving()
	c.plannedStop()
	c.configuration()
	slices.SortStableFunc(c.found, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Seq, b.Seq))
	})
	return c.found
}

// check is the state of one Check.
type check struct {
	options Options
	records []history.Record
	found   []Violation

	calls  []history.Record
	runs   []*run
	runOf  map[identity][]*run
	starts map[identity][]history.Record // task starts by job
	callOf map[identity][]history.Record
	queues map[string][]definition
	keyOf  map[string]key
}

// identity names a request or a job.
type identity struct{ team, request, job string }

// run is one execution of a request.
type run struct {
	start history.Record
	end   *history.Record // nil if it did not end
}

// definition is a queue as a version of the configuration has it.
type definition struct {
	from time.Duration
	rec  history.Record
}

type key struct {
	team      string
	granted   time.Duration
	withdrawn *time.Duration
}

func (c *check) report(g Guarantee, rec history.Record, format string, args ...any) {
	c.found = append(c.found, Violation{Guarantee: g, At: rec.At, Seq: rec.Seq, Text: fmt.Sprintf(format, args...)})
}

// index sorts the records by what the rules look up.
func (c *check) index() {
	c.runOf = map[identity][]*run{}
	c.starts = map[identity][]history.Record{}
	c.callOf = map[identity][]history.Record{}
	c.queues = map[string][]definition{}
	c.keyOf = map[string]key{}
	open := map[int64]*run{}
	for _, rec := range c.records {
		switch rec.Kind {
		case history.Call:
			c.calls = append(c.calls, rec)
			id := callIdentity(rec)
			c.callOf[id] = append(c.callOf[id], rec)
		case history.RequestStart:
			r := &run{start: rec}
			open[rec.Run] = r
			c.runs = append(c.runs, r)
			id := identity{team: rec.Team, request: rec.RequestID}
			c.runOf[id] = append(c.runOf[id], r)
		case history.RequestEnd:
			if r, ok := open[rec.Run]; ok {
				r.end = &rec
			}
		case history.TaskStart:
			id := identity{team: rec.Team, job: jobOfTask(rec.Task)}
			c.starts[id] = append(c.starts[id], rec)
		case history.QueueDefined:
			c.queues[rec.Queue] = append(c.queues[rec.Queue], definition{rec.At, rec})
		case history.KeyGranted:
			c.keyOf[rec.Key] = key{team: rec.Team, granted: rec.At}
		case history.KeyWithdrawn:
			k := c.keyOf[rec.Key]
			k.withdrawn = &rec.At
			c.keyOf[rec.Key] = k
		}
	}
}

func callIdentity(rec history.Record) identity {
	if rec.Job != "" {
		return identity{team: rec.Team, job: rec.Job}
	}
	return identity{team: rec.Team, request: rec.RequestID}
}

// definitions returns the definitions of a queue that may have been in force at
// a time.
func (c *check) definitions(queue string, at time.Duration) []history.Record {
	var out []history.Record
	all := c.queues[queue]
	for i, d := range all {
		replaced := i+1 < len(all) && all[i+1].from+c.options.ConfigGrace < at
		if !replaced && d.from-c.options.AcceptDelay <= at {
			out = append(out, d.rec)
		}
	}
	return out
}
