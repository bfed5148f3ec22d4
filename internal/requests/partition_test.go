package requests

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Guards against a partition that does not return the upstream's response or
// does not count the request.
func TestExecuteReturnsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		registry := prometheus.NewRegistry()
		var err error
		if cell.metrics, err = NewMetrics(registry); err != nil {
			t.Fatal(err)
		}
		p := cell.startOwner()
		resp, err := p.Execute(t.Context(), request("gallery.quote", "a", "x"))
		if err != nil || string(resp.Body) != "a ok" || resp.Status != 200 || resp.Vm != "vm-0" {
			t.Fatalf("got %+v, %v", resp, err)
		}
		if families, err := registry.Gather(); err != nil || len(families) != 3 {
			t.Errorf("%d metrics have values, %v; want all but retries", len(families), err)
		}
	})
}

// Guards against accepting requests that cannot be served.
func TestExecuteRejects(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name string
		req  *api.ExecuteRequest
		kind errkind.Kind
	}{
		{"unknown queue", request("gallery.none", "a", ""), errkind.NotFound},
		{"queue of jobs", request("kiln.fire", "a", ""), errkind.InvalidArgument},
		{"queue of another team", &api.ExecuteRequest{Partition: testPartition, Team: "kiln", Queue: "gallery.quote", RequestId: "a", TimeoutMs: 1}, errkind.PermissionDenied},
		{"other partition", &api.ExecuteRequest{Partition: "x", TimeoutMs: 1}, errkind.InvalidArgument},
		{"deadline in the past", &api.ExecuteRequest{Partition: testPartition}, errkind.DeadlineExceeded},
		{"malformed ID", request("gallery.quote", "a/b", ""), errkind.InvalidArgument},
		{"no slots in the limit", request("none.work", "a", ""), errkind.NeverRunnable},
		{"recorded ID is no UUID", request("gallery.charge", "a", ""), errkind.InvalidArgument},
		{"recorded ID of version 4", request("gallery.charge", "0b9c5b39-6f0c-4b6a-8f21-3f6a1c1a0a11", ""), errkind.InvalidArgument},
		{"recorded ID not canonical", request("gallery.charge", "urn:uuid:"+newID(), ""), errkind.InvalidArgument},
		{"recorded ID older than the retention", request("gallery.charge", idAt(now.Add(-25*time.Hour)), ""), errkind.OutcomeUnknown},
		{"recorded ID from the future", request("gallery.charge", idAt(now.Add(2*time.Minute)), ""), errkind.InvalidArgument},
	}
	cell := newTestCell(t, 1)
	p := cell.startOwner()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := p.Execute(t.Context(), c.req)
			wantKind(t, err, c.kind)
		})
	}
}

// Guards against an owner that places work after a newer owner has fenced its
// executor.
func TestFencedOwnerPlacesNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		old := cell.startOwner()
		if _, err := old.Execute(t.Context(), request("gallery.quote", "a", "")); err != nil {
			t.Fatal(err)
		}
		cell.startOwner()
		synctest.Wait()
		_, err := old.Execute(t.Context(), request("gallery.quote", "b", ""))
		wantKind(t, err, errkind.Fenced)
		if l := <-cell.superseded; l.Epoch != 1 {
			t.Errorf("superseded epoch %d", l.Epoch)
		}
		_, err = old.Execute(t.Context(), request("gallery.quote", "c", ""))
		wantKind(t, err, errkind.OwnerUnavailable)
	})
}

// Guards against a second execution of a duplicate that is in flight, and
// against accepting a repeated ID with another body.
func TestDuplicatesOfIdempotentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.runTime = time.Second
		p := cell.startOwner()
		first := executeAsync(t.Context(), p, request("gallery.quote", "a", "x"))
		second := executeAsync(t.Context(), p, request("gallery.quote", "a", "x"))
		synctest.Wait()
		_, err := p.Execute(t.Context(), request("gallery.quote", "a", "y"))
		wantKind(t, err, errkind.RequestIDConflict)
		<-first.done
		<-second.done
		if n := cell.executors.runsOf("a"); n != 1 || first.err != nil || second.err != nil {
			t.Errorf("%d runs, errors %v and %v", n, first.err, second.err)
		}
		_, err = p.Execute(t.Context(), request("gallery.quote", "a", "y"))
		wantKind(t, err, errkind.RequestIDConflict)
		time.Sleep(recentRetention + time.Second)
		if _, err := p.Execute(t.Context(), request("gallery.quote", "a", "y")); err != nil {
			t.Errorf("ID is still refused after %v: %v", recentRetention, err)
		}
	})
}

// Guards against starting a request whose caller is gone or whose deadline has
// passed, and against reporting a request that may have run as not run.
func TestCallersThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.runTime = 10 * time.Second
		p := cell.startOwner()
		var running []*asyncResponse
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 8 {
			running = append(running, executeAsync(ctx, p, request("gallery.quote", fmt.Sprint("run-", i), "")))
		}
		synctest.Wait()
		waiting := executeAsync(ctx, p, request("gallery.quote", "gone", ""))
		late := request("gallery.quote", "late", "")
		late.TimeoutMs = 1000
		lateAnswer := executeAsync(t.Context(), p, late)
		synctest.Wait()
		cancel()
		<-waiting.done
		wantKind(t, waiting.err, errkind.Canceled)
		<-lateAnswer.done
		wantKind(t, lateAnswer.err, errkind.DeadlineExceeded)
		for _, a := range running {
			<-a.done
			wantKind(t, a.err, errkind.OutcomeUnknown)
		}
		time.Sleep(time.Minute)
		if cell.executors.runsOf("gone")+cell.executors.runsOf("late") != 0 {
			t.Error("a request that was reported as not run has run")
		}
	})
}

// Guards against unbounded queues, and against one queue that uses the whole
// capacity of the partition.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.maxQueued = 8 // 2 per queue
		cell.executors.runTime = time.Minute
		p := cell.startOwner()
		time.Sleep(time.Second)
		for i := range 8 {
			executeAsync(t.Context(), p, request("kiln.watch", fmt.Sprint("run-", i), ""))
			synctest.Wait()
		}
		accepted := map[string]int{}
		for _, queue := range []string{"gallery.quote", "kiln.watch"} {
			for i := range 5 {
				a := executeAsync(t.Context(), p, request(queue, fmt.Sprint("w", i), ""))
				synctest.Wait()
				select {
				case <-a.done:
					wantKind(t, a.err, errkind.Overloaded)
				default:
					accepted[queue]++
				}
			}
		}
		if accepted["gallery.quote"] != 2 || accepted["kiln.watch"] != 2 {
			t.Errorf("accepted %v, want 2 a queue", accepted)
		}
	})
}

// Guards against a team that exceeds its allotment: slots of executors that are
// not fenced yet count as used.
func TestTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 2)
		cell.ledger.slots["kiln"] = 10
		cell.executors.set("vm-1", func(e *fakeExecutor) { e.down = true })
		cell.executors.runTime = time.Minute
		p := cell.startOwner()
		for i := range 12 {
			executeAsync(t.Context(), p, request("kiln.watch", fmt.Sprint(i), ""))
		}
		time.Sleep(time.Second)
		if n := cell.executors.activeCount(); n != 2 {
			t.Errorf("%d active while 8 slots are not fenced, want 2 of 10", n)
		}
		cell.executors.set("vm-1", func(e *fakeExecutor) { e.down = false })
		time.Sleep(10 * time.Second)
		if n := cell.executors.activeCount(); n != 10 {
			t.Errorf("%d active once all are fenced, want 10", n)
		}
	})
}

// Guards against returning the whole allotment while a team is idle: its next
// request would wait for the table service, or fail during an outage.
func TestDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.config.Pools = []api.Pool{{Name: "desk", ExecutorPartitions: 2}}
		cell.config.Teams[1].Limit.Slots = 21
		cell.executors.runTime = time.Minute
		p := cell.startOwner()
		wanted := func(n int) {
			t.Helper()
			time.Sleep(time.Second)
			cell.ledger.mu.Lock()
			defer cell.ledger.mu.Unlock()
			if got := cell.ledger.wanted["kiln"]; got != n {
				t.Errorf("%d slots are wanted, want %d", got, n)
			}
		}
		wanted(5) // half of the limit over two partitions
		for i := range 12 {
			executeAsync(t.Context(), p, request("kiln.watch", fmt.Sprint(i), ""))
		}
		wanted(12)
	})
}

// Guards against endless retries when every executor fails, and against
// reporting not run when the first attempt may have run.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.behave = func(string, *api.ExecutorCall) (bool, error) {
			return true, errkind.New(errkind.OutcomeUnknown, "", "cut short")
		}
		p := cell.startOwner()
		_, err := p.Execute(t.Context(), request("gallery.quote", "a", ""))
		wantKind(t, err, errkind.OutcomeUnknown)
		if n := cell.executors.runsOf("a"); n < 2 || n > 300 {
			t.Errorf("%d runs", n)
		}
	})
}

// Guards against a cancellation that removes a request for which other callers
// wait, or that claims to have stopped a running request.
func TestCancelAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.runTime = 5 * time.Second
		p := cell.startOwner()
		for i := range 8 {
			executeAsync(t.Context(), p, request("gallery.quote", fmt.Sprint("run-", i), ""))
		}
		synctest.Wait()
		one := executeAsync(t.Context(), p, request("gallery.quote", "a", ""))
		two := executeAsync(t.Context(), p, request("gallery.quote", "a", ""))
		synctest.Wait()
		ref := &api.RequestRef{Partition: testPartition, Team: "gallery", RequestId: "a"}
		steps := []struct {
			id        string
			abandoned bool
			want      api.RequestState
		}{
			{"run-0", false, api.RequestStateRunning},
			{"a", true, api.RequestStateQueued},
			{"a", false, api.RequestStateNotRun},
		}
		for _, s := range steps {
			st, err := p.Cancel(t.Context(), &api.RequestRef{Team: "gallery", RequestId: s.id, Abandoned: s.abandoned})
			if err != nil || st.State != s.want {
				t.Errorf("cancel %s: %+v, %v, want %s", s.id, st, err, s.want)
			}
		}
		<-one.done
		<-two.done
		wantKind(t, one.err, errkind.Canceled)
		wantKind(t, two.err, errkind.Canceled)
		if st, err := p.Status(t.Context(), ref); err != nil || st.State != api.RequestStateNotRun {
			t.Errorf("status %+v, %v", st, err)
		}
		ref.RequestId = "never"
		_, err := p.Status(t.Context(), ref)
		wantKind(t, err, errkind.NotFound)
	})
}

// Guards against returning the answer to one request for another.
func TestAnswersAreNotMixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 3)
		cell.executors.runTime = 50 * time.Millisecond
		p := cell.startOwner()
		answers := map[string]*asyncResponse{}
		for i := range 200 {
			id := fmt.Sprint("id-", i)
			answers[id] = executeAsync(t.Context(), p, request("gallery.quote", id, ""))
		}
		for id, a := range answers {
			<-a.done
			if a.err != nil || !bytes.HasPrefix(a.resp.Body, []byte(id+" ")) {
				t.Errorf("%s got %+v, %v", id, a.resp, a.err)
			}
		}
	})
}
