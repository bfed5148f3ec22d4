package cell

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// An operator may request that nothing more is started in a failure domain, until the request is
// withdrawn. The requests are rows of the operator's table, of which this owner has a copy. A
// request that the copy does not have yet can't be older than the last confirmation of the copy,
// so nothing is started once that is too long ago.

// evacuations are the requests that this owner knows.
type evacuations struct {
	requested   []string                    // sorted
	domains     map[string]*evacuatedDomain // the same by name
	confirmedAt time.Duration               // boot time as of which the table service has confirmed them
	unknown     bool                        // the last check found them too old
	moves       []domainMove
	checkedAt   time.Duration // last check of the runs in these domains
}

// evacuatedDomain is a failure domain in which nothing is started.
type evacuatedDomain struct {
	since time.Duration // when this owner learned of the request
	empty bool          // nothing runs there any more
}

// NeverConfirmed is the boot time of the last confirmation before the first one.
const NeverConfirmed = time.Duration(-1 << 62)

// SetEvacuatedDomains replaces the evacuated failure domains, which have to be sorted.
// confirmedAt is the boot time as of which the table service has confirmed that there are no
// others.
func (c *Cell) SetEvacuatedDomains(domains []string, confirmedAt time.Duration) {
	e := &c.evacuations
	e.confirmedAt = max(e.confirmedAt, confirmedAt)
	if slices.Equal(domains, e.requested) {
		return
	}
	earlier := e.domains
	e.requested = slices.Clone(domains)
	e.domains = make(map[string]*evacuatedDomain, len(domains))
	for _, name := range domains {
		if d := earlier[name]; d != nil {
			e.domains[name] = d
			continue
		}
		e.domains[name] = &evacuatedDomain{since: c.now}
		c.log(event.DomainEvacuated, "domain", name, "workers", c.countWorkersIn(name), "runs", c.countRunsIn(name))
	}
	for name, d := range earlier {
		if e.domains[name] == nil {
			c.log(event.DomainRestored, "domain", name, "evacuated_ms", c.sinceMs(d.since), "runs", c.countRunsIn(name))
		}
	}
	for _, w := range c.fleet {
		c.updateEvacuated(w)
	}
	c.changed = true
}

// updateEvacuated sets whether a worker is in an evacuated failure domain.
func (c *Cell) updateEvacuated(w *worker) {
	w.evacuated = c.evacuations.domains[w.info.FailureDomain] != nil
}

// evacuationsKnown reports whether tasks may be placed and started: the requests for evacuation
// were confirmed recently enough.
func (c *Cell) evacuationsKnown() bool {
	return c.opts.MaxEvacuationsAge == 0 || c.now <= c.startLimit()
}

// startLimit returns the boot time after which nothing may be started without a newer
// confirmation of the requests for evacuation; 0 for no limit.
func (c *Cell) startLimit() time.Duration {
	if c.opts.MaxEvacuationsAge == 0 {
		return 0
	}
	return c.evacuations.confirmedAt + c.opts.MaxEvacuationsAge
}

// checkEvacuations ends the starts that are not sent yet in evacuated failure domains, and moves
// long-running tasks.
func (c *Cell) checkEvacuations() {
	c.logEvacuationsKnown()
	e := &c.evacuations
	if len(e.domains) == 0 {
		return
	}
	for _, w := range c.fleet {
		if w.evacuated {
			c.endUnsentStarts(w)
		}
	}
	if c.now-e.checkedAt >= evacuateInterval {
		e.checkedAt = c.now
		c.moveLongRunningTasks()
		c.logEmptyDomains()
	}
}

// logEvacuationsKnown logs when the copy of the requests gets too old, and when it is confirmed
// again.
func (c *Cell) logEvacuationsKnown() {
	e := &c.evacuations
	unknown := !c.evacuationsKnown()
	if unknown == e.unknown {
		return
	}
	e.unknown = unknown
	if unknown {
		c.log(event.EvacuationsUnknown, "confirmed_ms", c.evacuationsAgeMs(), "limit_ms", c.opts.MaxEvacuationsAge.Milliseconds())
		return
	}
	c.log(event.EvacuationsKnown, "confirmed_ms", c.evacuationsAgeMs(), "domains", len(e.domains))
	c.changed = true
}

// evacuationsAgeMs returns the milliseconds since the requests were confirmed, -1 before the
// first confirmation.
func (c *Cell) evacuationsAgeMs() int64 {
	if c.evacuations.confirmedAt == NeverConfirmed {
		return -1
	}
	return (c.now - c.evacuations.confirmedAt).Milliseconds()
}

// endUnsentStarts ends the runs on a worker whose start waits for a record, a ticket or an
// acknowledgment, so that their tasks are placed elsewhere.
func (c *Cell) endUnsentStarts(w *worker) {
	for _, r := range slices.Clone(w.runs) {
		if r.phase == runRecording && !r.ended {
			c.stopForEvacuation(r)
		}
	}
}

// stopForEvacuation stops a run because of the evacuation of its failure domain.
func (c *Cell) stopForEvacuation(r *run) {
	c.stats.StoppedForEvacuation++
	c.stopRun(r, "its failure domain is evacuated")
}

// logEmptyDomains logs the evacuated failure domains in which nothing runs any more.
func (c *Cell) logEmptyDomains() {
	if !c.fleetListed || c.hasRunsInUnknownDomains() {
		return
	}
	for _, name := range c.evacuations.requested {
		d := c.evacuations.domains[name]
		empty := c.countRunsIn(name) == 0
		if empty && !d.empty {
			c.log(event.DomainEmpty, "domain", name, "evacuated_ms", c.sinceMs(d.since))
		}
		d.empty = empty
	}
}

// hasRunsInUnknownDomains reports whether tasks run on workers whose failure domain is not known,
// as after a takeover before they are listed.
func (c *Cell) hasRunsInUnknownDomains() bool {
	return slices.ContainsFunc(c.fleet, func(w *worker) bool { return !w.described && len(w.runs) > 0 })
}

// countWorkersIn counts the workers in a failure domain.
func (c *Cell) countWorkersIn(domain string) int {
	n := 0
	for _, w := range c.fleet {
		if w.info.FailureDomain == domain {
			n++
		}
	}
	return n
}

// countRunsIn counts the runs in a failure domain, also those that are not recorded.
func (c *Cell) countRunsIn(domain string) int {
	n := 0
	for _, w := range c.fleet {
		if w.info.FailureDomain == domain {
			n += len(w.runs) + len(w.unknownRuns)
		}
	}
	return n
}

// evacuatedRuns returns the number of runs left in each evacuated failure domain.
func (c *Cell) evacuatedRuns() map[string]int {
	out := make(map[string]int, len(c.evacuations.domains))
	for name := range c.evacuations.domains {
		out[name] = c.countRunsIn(name)
	}
	return out
}
