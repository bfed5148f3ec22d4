package requests

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/standin"
)

// Guards against a second run of a non-idempotent request that is repeated at
// the same owner or after a takeover, and against accepting a repetition with
// another body (hard case 6).
func TestRecordedRequestRunsOnce(t *testing.T) {
	for _, size := range []int{10, maxInlineAnswer + 1} {
		t.Run(fmt.Sprint("answer of ", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t, 1)
				cell.executors.body = bytes.Repeat([]byte("x"), size)
				id := newID()
				p := cell.startOwner()
				first, err := p.Execute(t.Context(), request("gallery.charge", id, "x"))
				if err != nil || first.Replayed {
					t.Fatalf("got %+v, %v", first, err)
				}
				// The caller has the answer before the record is written; a takeover in
				// between would leave the outcome unknown.
				again, err := p.Execute(t.Context(), request("gallery.charge", id, "x"))
				if err != nil || !again.Replayed || !bytes.Equal(again.Body, first.Body) {
					t.Fatalf("repetition before the record is written got %v", err)
				}
				time.Sleep(time.Second)
				for _, owner := range []*Partition{p, cell.startOwner()} {
					again, err := owner.Execute(t.Context(), request("gallery.charge", id, "x"))
					if err != nil || !again.Replayed || !bytes.Equal(again.Body, first.Body) || again.Status != first.Status {
						t.Fatalf("repetition got %v", err)
					}
					_, err = owner.Execute(t.Context(), request("gallery.charge", id, "y"))
					wantKind(t, err, errkind.RequestIDConflict)
				}
				if n := cell.executors.runsOf(id); n != 1 {
					t.Errorf("%d runs", n)
				}
				if size > maxInlineAnswer && cell.objects.Len() != 1 {
					t.Errorf("%d objects, want the answer", cell.objects.Len())
				}
			})
		})
	}
}

// Guards against a takeover that runs a request in flight again (hard case 5).
func TestTakeoverWithRecordedRequestInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.runTime = 5 * time.Second
		id := newID()
		old := cell.startOwner()
		first := executeAsync(t.Context(), old, request("gallery.charge", id, "x"))
		time.Sleep(time.Second)
		next := cell.startOwner()
		_, err := next.Execute(t.Context(), request("gallery.charge", id, "x"))
		wantKind(t, err, errkind.OutcomeUnknown)
		<-first.done
		if first.err != nil {
			t.Errorf("the caller of the old owner got %v instead of the answer", first.err)
		}
		st, err := next.Status(t.Context(), &api.RequestRef{Team: "gallery", RequestId: id})
		if err != nil || st.State != api.RequestStateUnknown {
			t.Errorf("status %+v, %v", st, err)
		}
		if n := cell.executors.runsOf(id); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// Guards against wrong outcomes of a request whose execution fails (hard case
// 8), and against refusing the repetition of a request that was not run.
func TestOutcomesOfRecordedRequests(t *testing.T) {
	cases := []struct {
		name  string
		ran   bool
		err   error
		kind  errkind.Kind
		state api.RequestState
		again bool // a repetition runs
	}{
		{"not reached", false, errkind.New(errkind.UpstreamUnavailable, "", "x"), errkind.UpstreamUnavailable, api.RequestStateNotRun, true},
		{"answer lost", true, errkind.New(errkind.OutcomeUnknown, "", "x"), errkind.OutcomeUnknown, api.RequestStateUnknown, false},
		{"answer truncated", true, errkind.New(errkind.UpstreamFailed, "", "x"), errkind.OutcomeUnknown, api.RequestStateUnknown, false},
		{"unexpected error", true, errors.New("x"), errkind.OutcomeUnknown, api.RequestStateUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t, 1)
				cell.executors.behave = func(string, *api.ExecutorCall) (bool, error) { return c.ran, c.err }
				id := newID()
				p := cell.startOwner()
				_, err := p.Execute(t.Context(), request("gallery.charge", id, "x"))
				wantKind(t, err, c.kind)
				st, err := p.Status(t.Context(), &api.RequestRef{Team: "gallery", RequestId: id})
				if err != nil || st.State != c.state {
					t.Errorf("status %+v, %v", st, err)
				}
				cell.executors.setBehavior(nil)
				_, err = p.Execute(t.Context(), request("gallery.charge", id, "x"))
				if (err == nil) != c.again {
					t.Errorf("repetition got %v", err)
				}
				if n := cell.executors.runsOf(id); n != 1 {
					t.Errorf("%d runs", n)
				}
			})
		})
	}
}

// Guards against non-idempotent requests that run without a record or delay
// idempotent ones while the table service is down (hard case 1).
func TestStoreOutage(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"down": {Down: true}, "hanging": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t, 1)
				p := cell.startOwner()
				time.Sleep(time.Second)
				cell.table.SetFaults(faults)
				var charges []*asyncResponse
				for range 50 {
					charges = append(charges, executeAsync(t.Context(), p, request("gallery.charge", newID(), "x")))
				}
				for _, a := range charges {
					<-a.done
					wantKind(t, a.err, errkind.StoreUnavailable)
				}
				begin := time.Now()
				for i := range 20 {
					if _, err := p.Execute(t.Context(), request("gallery.quote", fmt.Sprint(i), "")); err != nil {
						t.Fatalf("idempotent request failed: %v", err)
					}
				}
				if d := time.Since(begin); d > 100*time.Millisecond {
					t.Errorf("idempotent requests took %v", d)
				}
				cell.table.SetFaults(standin.Faults{})
				time.Sleep(30 * time.Second)
				if _, err := p.Execute(t.Context(), request("gallery.charge", newID(), "x")); err != nil {
					t.Errorf("after the outage: %v", err)
				}
			})
		})
	}
}

// Guards against an unacknowledged intent that prevents the repetition of a
// request that was reported as not run.
func TestUnacknowledgedIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		id := newID()
		p := cell.startOwner()
		cell.table.SetFaults(standin.Faults{Hang: true})
		_, err := p.Execute(t.Context(), request("gallery.charge", id, "x"))
		wantKind(t, err, errkind.StoreUnavailable)
		cell.table.SetFaults(standin.Faults{})
		time.Sleep(30 * time.Second)
		if st, err := p.Status(t.Context(), &api.RequestRef{Team: "gallery", RequestId: id}); err != nil || st.State != api.RequestStateNotRun {
			t.Errorf("status %+v, %v, want a record that keeps the intent from taking effect later", st, err)
		}
		if _, err := cell.startOwner().Execute(t.Context(), request("gallery.charge", id, "x")); err != nil || cell.executors.runsOf(id) != 1 {
			t.Errorf("repetition got %v after %d runs", err, cell.executors.runsOf(id))
		}
	})
}

// Guards against losing a result because the table service fails between the
// intent and the end of a request.
func TestRecordIsWrittenAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.runTime = time.Second
		id := newID()
		p := cell.startOwner()
		a := executeAsync(t.Context(), p, request("gallery.charge", id, "x"))
		time.Sleep(500 * time.Millisecond)
		cell.table.SetFaults(standin.Faults{Down: true})
		<-a.done
		if a.err != nil {
			t.Fatal(a.err)
		}
		if resp, err := p.Execute(t.Context(), request("gallery.charge", id, "x")); err != nil || !bytes.Equal(resp.Body, a.resp.Body) {
			t.Errorf("repetition in the outage got %v", err)
		}
		cell.table.SetFaults(standin.Faults{})
		time.Sleep(30 * time.Second)
		resp, err := cell.startOwner().Execute(t.Context(), request("gallery.charge", id, "x"))
		if err != nil || !resp.Replayed {
			t.Errorf("repetition after takeover got %+v, %v", resp, err)
		}
	})
}

// Guards against a wrong replay when the response body could not be stored.
func TestObjectStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.objects.SetFaults(standin.Faults{Down: true})
		cell.executors.body = make([]byte, maxInlineAnswer+1)
		id := newID()
		p := cell.startOwner()
		if _, err := p.Execute(t.Context(), request("gallery.charge", id, "x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * recordTimeout) // by now the record says that there is no answer
		_, err := p.Execute(t.Context(), request("gallery.charge", id, "x"))
		wantKind(t, err, errkind.OutcomeUnknown)
	})
}

// Guards against records that are kept forever, or are deleted while their IDs
// are still accepted.
func TestPurge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.body = make([]byte, maxInlineAnswer+1)
		id := newID()
		p := cell.startOwner()
		if _, err := p.Execute(t.Context(), request("gallery.charge", id, "x")); err != nil {
			t.Fatal(err)
		}
		rowsAndObjects := func() int {
			rows, err := cell.table.Scan(t.Context(), rowPrefix, "", 10)
			if err != nil {
				t.Fatal(err)
			}
			return len(rows) + cell.objects.Len()
		}
		time.Sleep(RecordRetention)
		if rowsAndObjects() != 2 {
			t.Error("the record is gone before the retention is over")
		}
		time.Sleep(2*purgeMargin + purgeInterval)
		if rowsAndObjects() != 0 {
			t.Error("the record is kept")
		}
	})
}
