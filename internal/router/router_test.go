package router

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Guards against retrying what may have run, not retrying what certainly did
// not, and a wrong outcome after several attempts (hard case 8).
func TestRetries(t *testing.T) {
	cases := []struct {
		name   string
		queue  string
		script []errkind.Kind
		want   errkind.Kind // empty for success
		sends  int
	}{
		{"success", "gallery.charge", nil, "", 1},
		{"owner changed", "gallery.charge", []errkind.Kind{errkind.Fenced, errkind.OwnerUnavailable, errkind.ShuttingDown}, "", 4},
		{"upstream not reached", "gallery.charge", []errkind.Kind{errkind.UpstreamUnavailable}, "", 2},
		{"unknown outcome", "gallery.charge", []errkind.Kind{errkind.OutcomeUnknown}, errkind.OutcomeUnknown, 1},
		{"upstream failed", "gallery.charge", []errkind.Kind{errkind.UpstreamFailed}, errkind.UpstreamFailed, 1},
		{"fault", "gallery.charge", []errkind.Kind{errkind.Internal}, errkind.Internal, 1},
		{"unknown outcome after a change of owner", "gallery.charge", []errkind.Kind{errkind.Fenced, errkind.OutcomeUnknown}, errkind.OutcomeUnknown, 2},
		{"overloaded", "gallery.charge", []errkind.Kind{errkind.Overloaded}, errkind.Overloaded, 1},
		{"store down", "gallery.charge", []errkind.Kind{errkind.StoreUnavailable}, errkind.StoreUnavailable, 1},
		{"conflict", "gallery.charge", []errkind.Kind{errkind.RequestIDConflict}, errkind.RequestIDConflict, 1},
		{"idempotent, unknown outcome", "gallery.quote", []errkind.Kind{errkind.OutcomeUnknown}, "", 2},
		{"idempotent, one partition overloaded", "gallery.quote", []errkind.Kind{errkind.Overloaded}, "", 2},
		{"idempotent, all overloaded", "gallery.quote", []errkind.Kind{errkind.Overloaded, errkind.Overloaded, errkind.Overloaded}, errkind.Overloaded, 3},
		{"idempotent, not run after an unknown outcome", "gallery.quote", []errkind.Kind{errkind.OutcomeUnknown, errkind.StoreUnavailable}, errkind.OutcomeUnknown, 2},
		{"idempotent, fault", "gallery.quote", []errkind.Kind{errkind.Internal}, errkind.Internal, 1},
	}
	for _, c := range cases {
		for _, from := range []string{"owner", "other"} {
			t.Run(c.name+" from "+from, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cell := newFakeCell("owner", "other")
					cell.setOwner("owner", deskPartitions()...)
					owner := cell.nodes["owner"]
					owner.errorScript = c.script
					resp, err := cell.nodes[from].router.Execute(t.Context(), request(c.queue, "a"))
					wantKind(t, err, c.want)
					if err == nil && string(resp.Body) != "owner" {
						t.Errorf("response is %q", resp.Body)
					}
					if n := len(owner.requests()); n != c.sends {
						t.Errorf("%d sends, want %d", n, c.sends)
					}
				})
			})
		}
	}
}

// Guards against sequences of errors after which the router sends a
// non-idempotent request again although it may have run, or reports a request
// that may have run as not run.
func TestRetriesProperty(t *testing.T) {
	var kinds []errkind.Kind
	for _, a := range errkind.Table() {
		kinds = append(kinds, a.Kind)
	}
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 8).Draw(rt, "script")
		queue := rapid.SampledFrom([]string{"gallery.charge", "gallery.quote"}).Draw(rt, "queue")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			cell := newFakeCell("owner", "other")
			cell.setOwner("owner", deskPartitions()...)
			owner := cell.nodes["owner"]
			owner.errorScript = script
			_, err := cell.nodes["other"].router.Execute(t.Context(), request(queue, "a"))
			failure = checkOutcome(queue, script, owner.requests(), err)
		})
		if failure != "" {
			rt.Error(failure)
		}
	})
}

func checkOutcome(queue string, script []errkind.Kind, sent []api.ExecuteRequest, err error) string {
	mayHaveRun := false
	for i := range sent {
		if mayHaveRun && queue == "gallery.charge" {
			return fmt.Sprintf("send %d follows one that may have run", i)
		}
		if i < len(script) && errkind.ResponseOf(script[i]).Outcome != errkind.NotRun {
			mayHaveRun = true
		}
	}
	if err != nil && mayHaveRun && errkind.From(err).Outcome() == errkind.NotRun {
		return fmt.Sprintf("%v after a send that may have run", err)
	}
	return ""
}

// Guards against a request that fails although its partition gets an owner in
// time, or that waits without limit for an owner.
func TestPartitionWithoutOwner(t *testing.T) {
	cases := []struct {
		name      string
		queue     string
		timeoutMs int
		ownerIn   time.Duration // 0 for never
		want      errkind.Kind
	}{
		{"owner in time", "gallery.charge", 30000, 3 * time.Second, ""},
		{"never", "gallery.charge", 30000, 0, errkind.OwnerUnavailable},
		{"not before the deadline", "gallery.charge", 1000, 3 * time.Second, errkind.DeadlineExceeded},
		{"idempotent, never", "gallery.quote", 30000, 0, errkind.OwnerUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newFakeCell("owner", "other")
				if c.ownerIn > 0 {
					time.AfterFunc(c.ownerIn, func() { cell.setOwner("owner", deskPartitions()...) })
				}
				req := request(c.queue, "a")
				req.TimeoutMs = c.timeoutMs
				started := time.Now()
				_, err := cell.nodes["other"].router.Execute(t.Context(), req)
				wantKind(t, err, c.want)
				if d := time.Since(started); d > ownerWait+backoffMax {
					t.Errorf("took %v", d)
				}
			})
		})
	}
}

// Guards against an idempotent request that waits for the owner of its first
// partition while other partitions have owners.
func TestIdempotentRequestGoesToNextPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newFakeCell("owner", "other")
		cell.setOwner("owner", "desk-executors-1")
		for i := range 20 {
			started := time.Now()
			if _, err := cell.nodes["other"].router.Execute(t.Context(), request("gallery.quote", fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
			if d := time.Since(started); d > 0 {
				t.Errorf("request %d waited %v", i, d)
			}
		}
	})
}

// Guards against duplicates that reach different owners through different nodes
// (hard case 6), and against a change of the partitions that moves most
// requests.
func TestPlacement(t *testing.T) {
	cell := newFakeCell("a", "b")
	three := deskPartitions()
	four := append(deskPartitions(), "desk-executors-3")
	counts := map[string]int{}
	moved := 0
	const requests = 3000
	for i := range requests {
		id := fmt.Sprint(i)
		from, err := requestPartitions(cell.nodes["a"].router.options.Config(), "desk", "gallery", id)
		if err != nil {
			t.Fatal(err)
		}
		if again := rankPartitions([]string{three[2], three[0], three[1]}, "gallery", id); again[0] != from[0] {
			t.Fatalf("request %s goes to %s and %s", id, from[0], again[0])
		}
		counts[from[0]]++
		if after := rankPartitions(four, "gallery", id); after[0] != from[0] {
			moved++
		}
	}
	for p, n := range counts {
		if n < requests/4 || n > requests*5/12 {
			t.Errorf("%s gets %d of %d requests", p, n, requests)
		}
	}
	if moved > requests*3/10 {
		t.Errorf("a fourth partition moved %d of %d requests, want about a quarter", moved, requests)
	}
}

// Guards against an owner that starts a request whose caller has gone.
func TestCallerGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newFakeCell("owner", "other")
		cell.setOwner("owner", deskPartitions()...)
		owner := cell.nodes["owner"]
		owner.delay = time.Minute
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		req := request("gallery.charge", "a")
		req.TimeoutMs = 60000
		_, err := cell.nodes["other"].router.Execute(ctx, req)
		wantKind(t, err, errkind.OutcomeUnknown)
		time.Sleep(owner.delay)
		owner.mu.Lock()
		defer owner.mu.Unlock()
		if len(owner.canceled) != 1 || !owner.canceled[0].Abandoned || owner.canceled[0].RequestId != "a" {
			t.Errorf("the owner was told %+v", owner.canceled)
		}
	})
}

// Guards against accepting requests that no partition can serve.
func TestRejects(t *testing.T) {
	cell := newFakeCell("a")
	for queue, want := range map[string]errkind.Kind{
		"gallery.none":   errkind.NotFound,
		"gallery.render": errkind.InvalidArgument,
		"gallery.fire":   errkind.NeverRunnable,
	} {
		_, err := cell.nodes["a"].router.Execute(t.Context(), request(queue, "a"))
		wantKind(t, err, want)
	}
}

// Guards against a status that misses a request in another partition, and
// against not_found while a partition cannot be reached.
func TestRequestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newFakeCell("owner", "other")
		cell.setOwner("owner", append(deskPartitions(), "bench-executors-0")...)
		r := cell.nodes["other"].router
		if _, err := r.Execute(t.Context(), request("gallery.quote", "a")); err != nil {
			t.Fatal(err)
		}
		if st, err := r.RequestStatus(t.Context(), "gallery", "a"); err != nil || st.State != api.RequestStateDone {
			t.Errorf("status %+v, %v", st, err)
		}
		_, err := r.RequestStatus(t.Context(), "gallery", "b")
		wantKind(t, err, errkind.NotFound)
		cell.setOwner("gone", "desk-executors-2")
		_, err = r.RequestStatus(t.Context(), "gallery", "b")
		wantKind(t, err, errkind.OwnerUnavailable)
	})
}

// Guards against jobs that reach the wrong partition, and against lists that
// omit jobs of some partitions or are not sorted.
func TestJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newFakeCell("owner", "other")
		cell.setOwner("owner", "desk-workers", "bench-workers")
		cell.setOwner("other", "kiln-workers")
		r := cell.nodes["other"].router
		for _, j := range []struct{ id, queue, partition string }{
			{"c", "gallery.render", "bench-workers"},
			{"a", "gallery.build", "desk-workers"},
			{"b", "gallery.render", "bench-workers"},
		} {
			row, err := r.SubmitJob(t.Context(), &api.JobSpec{Id: j.id, Team: "gallery", Queue: j.queue})
			if err != nil || row.Partition != j.partition {
				t.Errorf("job %s: %+v, %v", j.id, row, err)
			}
		}
		if row, err := r.JobStatus(t.Context(), "gallery", "a"); err != nil || row.Partition != "desk-workers" {
			t.Errorf("status %+v, %v", row, err)
		}
		if row, err := r.CancelJob(t.Context(), "gallery", "b"); err != nil || row.State != api.JobStateCanceled {
			t.Errorf("cancel %+v, %v", row, err)
		}
		_, err := r.JobStatus(t.Context(), "kiln", "a")
		wantKind(t, err, errkind.NotFound)
		list, err := r.ListJobs(t.Context(), &api.ListJobsRequest{Team: "gallery", Limit: 2})
		if err != nil || len(list.Jobs) != 2 || list.Jobs[0].Spec.Id != "a" || list.Jobs[1].Spec.Id != "b" {
			t.Errorf("list %+v, %v", list, err)
		}
		_, err = r.SubmitJob(t.Context(), &api.JobSpec{Id: "x", Team: "gallery", Queue: "gallery.quote"})
		wantKind(t, err, errkind.InvalidArgument)
	})
}

// Guards against deadline_exceeded for a call whose caller set no deadline,
// when the router's own time limit ends before the owner is reached: that error
// is final, and the caller would not try another node.
func TestOwnerNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newFakeCell("entry")
		cell.setOwner(unreachableNode, config.WorkerPartitionName("bench"))
		_, err := cell.nodes["entry"].router.SubmitJob(t.Context(), &api.JobSpec{Id: "x", Team: "gallery", Queue: "gallery.render"})
		if !errkind.Is(err, errkind.OwnerUnavailable) || !errkind.ResponseOf(errkind.From(err).Kind).Retryable {
			t.Errorf("got %v, want owner_unavailable", err)
		}
	})
}
