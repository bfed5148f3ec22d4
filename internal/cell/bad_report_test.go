package cell

import (
	"testing"
	"time"
)

// Guards against a report that ends runs or extends a lease although it lacks a clock, an
// incarnation or a list, or is of an earlier time.
func TestBadReportsProveNothing(t *testing.T) {
	for _, kind := range badReports {
		sim := newSimulation(t, 1)
		f := sim.addWorker("w1", smallWorker)
		sim.startOwner()
		sim.submit(standing(1))
		sim.runFor(3 * time.Second)
		f.badReports, f.badReportShare = []badReport{kind}, 1
		lost := &sim.cell.stats.Lost
		sim.runFor(testLease - pollWait - time.Second)
		if n := lost.Total(); n != 0 || len(f.runs) != 1 {
			t.Errorf("report %s: %d runs are lost, %d run", kind, n, len(f.runs))
		}
		if sim.cell.stats.InvalidReports == 0 {
			t.Errorf("no report %s was counted", kind)
		}
		sim.runUntil(pollWait+3*time.Second, "lost with the lease", func() bool { return lost[lostWithLease] == 1 })
		f.badReportShare = 0
		sim.runUntil(5*time.Second, "started again", func() bool { return len(f.runs) == 1 })
	}
}

// badReport is a way in which a report is not usable.
type badReport string

// Ways in which a report is not usable.
const (
	badNoClock            badReport = "without a clock"
	badNegativeClock      badReport = "with a negative clock"
	badBackwards          badReport = "with a clock that runs backwards"
	badNoIncarnation      badReport = "without an incarnation"
	badEarlierIncarnation badReport = "with an earlier incarnation"
	badWithoutLists       badReport = "without lists"
)

var badReports = []badReport{badNoClock, badNegativeClock, badBackwards, badNoIncarnation, badEarlierIncarnation, badWithoutLists}

// spoil returns a report without running tasks that is not usable.
func (kind badReport) spoil(w *worker, report Report) *Report {
	report.Running = nil
	switch kind {
	case badNoClock:
		report.ClockMs = 0
	case badNegativeClock:
		report.ClockMs = -1
	case badBackwards:
		report.ClockMs, report.IncarnationUnixMs = w.reportClockMs-1, w.info.IncarnationUnixMs
	case badNoIncarnation:
		report.IncarnationUnixMs = 0
	case badEarlierIncarnation:
		report.IncarnationUnixMs = w.info.IncarnationUnixMs - 1
	case badWithoutLists:
		report.Ends, report.Incomplete = nil, true
	}
	return &report
}

// reportEffects is what a report may change.
type reportEffects struct {
	lost, invalid, runs, processedEnd int
	leaseUntil, clockMs               int64
	reportedAt                        time.Duration
}

func effectsOfReports(c *Cell, w *worker) reportEffects {
	return reportEffects{
		lost: c.stats.Lost.Total(), invalid: c.stats.InvalidReports, runs: len(w.runs), processedEnd: w.processedEnd,
		leaseUntil: w.leaseUntil, clockMs: w.clockMs, reportedAt: w.reportedAt,
	}
}

// deliverReport passes a report to the cell. It spoils the share of bad reports, and checks
// that these are counted and change nothing else.
func (f *fakeWorker) deliverReport(c *Cell, p *Poll, report *Report) {
	w := c.workerByRef(p.Worker)
	if w == nil || f.badReportShare == 0 || f.sim.rand.Float64() >= f.badReportShare {
		c.ReportReceived(p.Worker, p.Seq, report)
		return
	}
	kind := f.badReports[f.sim.rand.IntN(len(f.badReports))]
	bad := kind.spoil(w, *report)
	want := effectsOfReports(c, w)
	overdue := false
	for _, pending := range w.polls {
		overdue = overdue || pending.seq == p.Seq && pending.overdue
	}
	if !overdue || kind != badBackwards || bad.ClockMs <= 0 { // a late answer is usually older than the last report
		want.invalid++
	}
	c.ReportReceived(p.Worker, p.Seq, bad)
	if got := effectsOfReports(c, w); got != want {
		f.sim.t.Errorf("%v: a report of %s %s has the effects %+v, want %+v", f.sim.now, f.id, kind, got, want)
	}
}
