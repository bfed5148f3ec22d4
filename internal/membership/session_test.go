package membership

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/standin"
)

// fixture runs single steps of memberships, without their loops.
type fixture struct {
	clock    *clock.Fake
	table    *standin.Table
	entryVMs []string // entry VMs in the VM list
}

func newFixture() *fixture {
	return &fixture{clock: clock.NewFake(time.Now()), table: standin.NewTable()}
}

func (f *fixture) member(node, addr string) *Membership {
	return New(Options{
		Self: api.Member{Node: node, PeerAddress: addr}, Table: f.table, Clock: f.clock,
		EntryVMs: func() []string { return f.entryVMs },
	})
}

// tick writes heartbeats, reads the sessions and advances the clock, once for each second.
func (f *fixture) tick(seconds int, all ...*Membership) {
	for range seconds {
		for _, m := range all {
			m.joinOrHeartbeat(context.Background())
		}
		for _, m := range all {
			_ = m.Refresh(context.Background())
		}
		f.clock.Advance(HeartbeatInterval)
	}
}

// ping sends a ping between two memberships without a network.
func ping(t *testing.T, from, to *Membership) {
	t.Helper()
	sent := from.now()
	in := &api.PingRequest{Member: from.Self(), ToIncarnation: to.Self().Incarnation}
	out := to.respond(in)
	from.recordResponse(to.Self(), sent, out, nil)
	from.extendLead()
}

// TestSupersede guards against two processes with the same node name that supersede
// each other forever, and against a superseded process at another address that counts
// as unable to lead while it may still be leading.
func TestSupersede(t *testing.T) {
	f := newFixture()
	old, other := f.member("a", "10.0.0.1:7000"), f.member("b", "10.0.0.2:7000")
	f.tick(2, old, other)
	incarnation := old.Self().Incarnation
	lost := 0
	old.OnLost(func() { lost++ })
	next := f.member("a", "10.0.0.9:7000")
	f.tick(3, next, old, other)
	if old.Self().Incarnation != "" || lost != 1 || old.CheckLead() == nil {
		t.Errorf("the superseded process still has the incarnation %q; OnLost was called %d times", old.Self().Incarnation, lost)
	}
	if next.Self().Incarnation == "" || next.CheckLead() != nil {
		t.Errorf("the new process does not lead: %v", next.CheckLead())
	}
	if other.CannotLead(incarnation) || next.CannotLead(incarnation) {
		t.Error("the superseded process counts as unable to lead without evidence")
	}
	f.tick(10, next, old, other)
	if old.Self().Incarnation != "" {
		t.Error("the superseded process superseded its successor")
	}
	f.tick(6, old, other) // the new process has ended
	if old.Self().Incarnation == "" {
		t.Error("the superseded process never rejoined")
	}
}

// TestExpiry guards against a session that is marked as expired after a gap between the
// scans of its row, and against a session that never expires.
func TestExpiry(t *testing.T) {
	f := newFixture()
	a, b := f.member("a", "10.0.0.1:7000"), f.member("b", "10.0.0.2:7000")
	f.tick(2, a, b)
	f.clock.Advance(time.Hour) // as in an outage or a pause of the observer
	f.tick(4, a)
	if len(a.Members()) != 2 {
		t.Error("the session expired right after a gap")
	}
	f.tick(2, a)
	if len(a.Members()) != 1 {
		t.Error("the session did not expire after the lease")
	}
	old := b.Self().Incarnation
	f.tick(2, b)
	if got := b.Self().Incarnation; got == old || got == "" {
		t.Errorf("incarnation %q after the session %q was expired", got, old)
	}
}

// TestGoneByVMList guards against a VM that counts as gone because the VM list is out
// of date, and against a VM that does not count as gone after it has left the list.
func TestGoneByVMList(t *testing.T) {
	tests := []struct {
		name        string
		listBefore  []string
		listAfter   []string
		memberEnds  bool
		waitSeconds int
		wantGone    bool
	}{
		{"left the list", []string{"10.0.0.1", "10.0.0.2"}, []string{"10.0.0.1"}, true, 1, true},
		{"not listed yet", []string{"10.0.0.1"}, []string{"10.0.0.1"}, false, 30, false},
		{"never listed and expired for long", []string{"10.0.0.1"}, []string{"10.0.0.1"}, true, 70, true},
		{"entry VMs are not listed", nil, nil, true, 70, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			f.entryVMs = tt.listBefore
			a, b := f.member("a", "10.0.0.1:7000"), f.member("b", "10.0.0.2:7000")
			f.tick(2, a, b)
			f.entryVMs = tt.listAfter
			if tt.memberEnds {
				f.tick(tt.waitSeconds, a)
			} else {
				f.tick(tt.waitSeconds, a, b)
			}
			if got := len(a.Others()) == 0; got != tt.wantGone {
				t.Errorf("counts as gone: %t", got)
			}
		})
	}
}

// TestLeadIsNotRestored guards against a node that leads again on reports of an outage
// after its lead has ended: another node may have taken over.
func TestLeadIsNotRestored(t *testing.T) {
	f := newFixture()
	a, b := f.member("a", "10.0.0.1:7000"), f.member("b", "10.0.0.2:7000")
	f.tick(2, a, b)
	f.table.SetFaults(standin.Faults{Down: true})
	for range 20 {
		f.tick(1, a, b)
		ping(t, a, b)
		ping(t, b, a)
	}
	if a.CheckLead() != nil || b.CheckLead() != nil {
		t.Fatalf("a cell-wide outage ended the lead: %v, %v", a.CheckLead(), b.CheckLead())
	}
	f.tick(5, b) // no pings: the reports have a gap
	ping(t, a, b)
	ping(t, b, a)
	if a.CheckLead() == nil || b.CheckLead() == nil {
		t.Error("the lead was restored without a write of the session")
	}
	f.table.SetFaults(standin.Faults{})
	f.tick(1, a, b)
	if a.CheckLead() != nil || b.CheckLead() != nil {
		t.Errorf("no lead after a heartbeat: %v, %v", a.CheckLead(), b.CheckLead())
	}
}

// TestLostAnswers guards against a session that is dropped because the answer to its own
// write was lost.
func TestLostAnswers(t *testing.T) {
	f := newFixture()
	f.table.SetFaults(standin.Faults{LoseAnswers: true})
	a := f.member("a", "10.0.0.1:7000")
	f.tick(5, a)
	incarnation := a.Self().Incarnation
	f.tick(5, a)
	if incarnation == "" || a.Self().Incarnation != incarnation || a.CheckLead() != nil {
		t.Errorf("incarnation %q, then %q, lead %v", incarnation, a.Self().Incarnation, a.CheckLead())
	}
	if err := a.Release(context.Background()); err != nil {
		t.Error(err)
	}
	f.table.SetFaults(standin.Faults{})
	b := f.member("b", "10.0.0.2:7000")
	f.tick(1, b)
	if !b.CannotLead(incarnation) || len(b.Others()) != 0 {
		t.Error("the released session still counts as running")
	}
}
