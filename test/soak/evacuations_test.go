package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/platform/standin"
)

const (
	storeFaultStretch  = 6 * time.Second         // by which evacuateTime grows while the store is slow or unavailable
	minEvacuation      = 4 * time.Second         // plus twice the time of the fault, so that most outlast evacuateTime
	maxEvacuationAfter = 3500 * time.Millisecond // the last start of a fault, as long as other faults take
)

// undisturbedEvacuations are requests of the operator, without a fault of their own.
var undisturbedEvacuations = []fault{
	{"failure domain evacuated", 1, func(s *soak, r *rand.Rand, duration time.Duration) string {
		return s.evacuate(r, duration, func() {})
	}},
}

// evacuations are requests of the operator, some of them just before the owner ends or the
// store goes away.
var evacuations = append([]fault{
	{"failure domain evacuated, owner killed", 1, func(s *soak, r *rand.Rand, duration time.Duration) string {
		return s.evacuate(r, duration, func() {
			n := s.cellOwner(r)
			n.kill()
			time.Sleep(duration / 3)
			n.start()
		})
	}},
	{"failure domain evacuated, store unavailable", 1, func(s *soak, r *rand.Rand, duration time.Duration) string {
		return s.evacuate(r, duration, func() {
			s.platform.Store.Faults.SetMode([]standin.Mode{standin.Busy, standin.Reset, standin.Silent}[r.IntN(3)])
			time.Sleep(duration / 2)
			s.platform.Store.Faults.SetMode(standin.Up)
		})
	}},
}, undisturbedEvacuations...)

// evacuate requests the evacuation of a failure domain, calls disturb and withdraws the
// request some seconds later. One domain is evacuated at a time, so that the others can run
// the load.
func (s *soak) evacuate(r *rand.Rand, duration time.Duration, disturb func()) string {
	domain := s.pickWorker(r).Zone
	value := []string{"{}", "{}", "", "{", "\xff\x00"}[r.IntN(5)]
	if !s.evacuationMu.TryLock() {
		return "none, another one is in force"
	}
	defer s.evacuationMu.Unlock()
	end := time.Now().Add(minEvacuation + 2*duration)
	if last := s.faultsEnd.Add(maxEvacuationAfter); end.After(last) {
		end = last
	}
	s.platform.Evacuate(domain, []byte(value))
	disturb()
	time.Sleep(time.Until(end))
	s.platform.WithdrawEvacuation(domain)
	return fmt.Sprintf("%s, value %q", domain, value)
}

// evacuation is a request that is in force.
type evacuation struct {
	since time.Duration
	limit time.Duration // for which tasks may still start
}

// evacuationViolations returns the starts of tasks in failure domains whose evacuation was
// acknowledged longer ago than evacuateTime, or than that and the stretch if the store had a
// fault in the meantime. Calls that a worker carried out late don't count.
func evacuationViolations(records []history.Record) []string {
	var out []string
	domains := map[string]string{} // by worker
	inForce := map[string]*evacuation{}
	storeFault := false
	for _, r := range records {
		switch {
		case r.Kind == history.VMCapacity:
			domains[r.VM] = r.Domain
		case r.Kind == history.DomainEvacuated && inForce[r.Domain] == nil:
			inForce[r.Domain] = &evacuation{since: r.At, limit: evacuateTime}
		case r.Kind == history.DomainOpened:
			delete(inForce, r.Domain)
		case r.Reason == history.StoreFault:
			storeFault = r.Kind == history.FaultBegin
		case r.Kind == history.TaskStart && r.Reason != history.LateCall:
			if e := inForce[domains[r.VM]]; e != nil && r.At-e.since > e.limit {
				out = append(out, fmt.Sprintf("at %v: task %s starts as attempt %d on %s %v after the evacuation of %s was acknowledged",
					r.At, r.Task, r.Attempt, r.VM, r.At-e.since, domains[r.VM]))
			}
		}
		for _, e := range inForce {
			if storeFault && r.At-e.since <= evacuateTime {
				e.limit = evacuateTime + storeFaultStretch
			}
		}
	}
	return out
}

// Guards against a check that reports no start in an evacuated domain, or an allowed one.
func TestEvacuationViolations(t *testing.T) {
	at := func(seconds float64, r history.Record) history.Record {
		r.At = time.Duration(seconds * float64(time.Second))
		return r
	}
	begin, end := history.Record{Kind: history.FaultBegin, Reason: history.StoreFault}, history.Record{Kind: history.FaultEnd, Reason: history.StoreFault}
	evacuated, opened := history.Record{Kind: history.DomainEvacuated, Domain: "a"}, history.Record{Kind: history.DomainOpened, Domain: "a"}
	start := history.Record{Kind: history.TaskStart, VM: "in a", Task: "t"}
	late, elsewhere := start, start
	late.Reason, elsewhere.VM = history.LateCall, "in b"
	for _, c := range []struct {
		name    string
		records []history.Record
		want    int
	}{
		{"too late", []history.Record{at(1, evacuated), at(6.1, start)}, 1},
		{"in time", []history.Record{at(1, evacuated), at(5.9, start)}, 0},
		{"repeated request", []history.Record{at(1, evacuated), at(4, evacuated), at(6.1, start)}, 1},
		{"late call", []history.Record{at(1, evacuated), at(6.1, late)}, 0},
		{"other domain", []history.Record{at(1, evacuated), at(6.1, elsewhere)}, 0},
		{"withdrawn", []history.Record{at(1, evacuated), at(6, opened), at(6.1, start)}, 0},
		{"requested again", []history.Record{at(1, evacuated), at(6, opened), at(7, evacuated), at(12.1, start)}, 1},
		{"store fault", []history.Record{at(1, evacuated), at(2, begin), at(3, end), at(11.9, start), at(12.1, start)}, 1},
		{"store fault before", []history.Record{at(0.5, begin), at(1, evacuated), at(1.5, end), at(11.9, start), at(12.1, start)}, 1},
		{"ended store fault", []history.Record{at(0.5, begin), at(0.6, end), at(1, evacuated), at(6.1, start)}, 1},
		{"store fault after", []history.Record{at(1, evacuated), at(6.1, begin), at(6.2, start)}, 1},
	} {
		records := append([]history.Record{
			{Kind: history.VMCapacity, VM: "in a", Domain: "a"}, {Kind: history.VMCapacity, VM: "in b", Domain: "b"},
		}, c.records...)
		if got := evacuationViolations(records); len(got) != c.want {
			t.Errorf("%s: %d violations, want %d: %v", c.name, len(got), c.want, got)
		}
	}
}
