package requests

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

// conflictCounter counts the writes of which a check failed.
type conflictCounter struct {
	platform.Batcher
	conflicts atomic.Int64
}

func (c *conflictCounter) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) (int64, error) {
	version, err := c.Batcher.Commit(ctx, checks, writes)
	if errors.Is(err, platform.ErrConflict) {
		c.conflicts.Add(1)
	}
	return version, err
}

// Guards against a result that is written again over its intent although it may be stored.
// Such a write is certain to fail, and fails the batch it is in.
func TestResultThatMayBeStoredIsReadFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		writes := &conflictCounter{Batcher: cell.table}
		cell.batcher = writes
		cell.executors.runTime = time.Second
		id := newID()
		p := cell.startOwner()
		answer := executeAsync(t.Context(), p, request("gallery.charge", id, "x"))
		synctest.Wait() // the intent is stored
		cell.table.SetFaults(standin.Faults{AnswerDelay: 2 * recordTimeout})
		<-answer.done
		time.Sleep(recordTimeout + 10*time.Millisecond)
		cell.table.SetFaults(standin.Faults{})
		time.Sleep(time.Minute)
		if n := writes.conflicts.Load(); n != 0 || answer.err != nil {
			t.Errorf("%d writes conflicted, answer %v", n, answer.err)
		}
		if st, err := p.Status(t.Context(), &api.RequestRef{Team: "gallery", RequestId: id}); err != nil || st.State != api.RequestStateDone {
			t.Errorf("status %+v, %v", st, err)
		}
	})
}

// Guards against the intent of a repeated request that is written as if the request had no
// record. Such a write is certain to fail, and fails the batch it is in.
func TestRecordOfARepeatedRequestIsReadFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		writes := &conflictCounter{Batcher: cell.table}
		cell.batcher = writes
		cell.executors.setBehavior(func(string, *api.ExecutorCall) (bool, error) {
			return false, errkind.New(errkind.UpstreamUnavailable, "", "x")
		})
		id := newID()
		p := cell.startOwner()
		_, err := p.Execute(t.Context(), request("gallery.charge", id, "x"))
		wantKind(t, err, errkind.UpstreamUnavailable)
		cell.executors.setBehavior(nil)
		time.Sleep(time.Minute) // the executor is used again
		if _, err := p.Execute(t.Context(), request("gallery.charge", id, "x")); err != nil {
			t.Errorf("repetition got %v", err)
		}
		if n := writes.conflicts.Load(); n != 0 {
			t.Errorf("%d writes conflicted", n)
		}
		if n := cell.executors.runsOf(id); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// Guards against non-idempotent requests that stay refused after a time in which the table
// service was too slow for them, although it serves them again.
func TestRecordedRequestsRecoverFromASlowTable(t *testing.T) {
	const (
		interval   = 50 * time.Millisecond // between requests
		tooSlowFor = 15 * time.Second
		recovery   = 10 * time.Second
		observed   = 10 * time.Second
		deadline   = 8 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 6)
		cell.executors.runTime = 30 * time.Millisecond
		group := platform.NewGroupCommit(cell.table, platform.GroupOptions{})
		t.Cleanup(func() { group.Close(context.Background()) })
		cell.batcher = group
		p := cell.startOwner()
		slow := func(roundTrip time.Duration) {
			cell.table.SetFaults(standin.Faults{Delay: roundTrip / 2, AnswerDelay: roundTrip / 2})
		}
		var failed, answered atomic.Int64 // of the requests sent while observed
		var callers sync.WaitGroup
		send := func(count bool) {
			callers.Go(func() {
				ok := executeUntilStored(t.Context(), p, deadline)
				switch {
				case count && ok:
					answered.Add(1)
				case count:
					failed.Add(1)
				}
			})
		}
		sendFor := func(d time.Duration, count bool) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
				send(count)
			}
		}
		slow(600 * time.Millisecond)
		sendFor(tooSlowFor, false)
		slow(300 * time.Millisecond)
		sendFor(recovery, false)
		sendFor(observed, true)
		callers.Wait()
		cell.table.SetFaults(standin.Faults{})
		if n := failed.Load(); n > 0 {
			t.Errorf("%d of %d requests were not answered", n, n+answered.Load())
		}
	})
}

// executeUntilStored sends a non-idempotent request again until it is not refused because of
// the table service, and reports whether it was answered.
func executeUntilStored(ctx context.Context, p *Partition, deadline time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req := request("gallery.charge", newID(), "x")
	for ctx.Err() == nil {
		_, err := p.Execute(ctx, req)
		if err == nil {
			return true
		}
		if !errkind.Is(err, errkind.StoreUnavailable) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
