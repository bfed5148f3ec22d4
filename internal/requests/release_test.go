package requests

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/errkind"
)

// Guards against a new owner that returns the allotment of requests that the
// previous owner started, before it knows which are active (guarantee 4).
func TestTakeoverKeepsAllotmentOfRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 2)
		cell.executors.runTime = time.Minute
		old := cell.startOwner()
		for i := range 5 {
			executeAsync(t.Context(), old, request("gallery.quote", fmt.Sprint(i), ""))
		}
		time.Sleep(time.Second)
		cell.ledger.mu.Lock()
		cell.ledger.slots["gallery"], cell.ledger.used = 0, map[string][]int{}
		cell.ledger.mu.Unlock()
		cell.startOwner()
		time.Sleep(time.Second)
		cell.ledger.mu.Lock()
		defer cell.ledger.mu.Unlock()
		if used := cell.ledger.used["gallery"]; len(used) == 0 || slices.Min(used) < 5 {
			t.Errorf("5 requests run, the new owner reports %v", used)
		}
	})
}

// Guards against interrupting work during a planned stop (guarantee 9).
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.runTime = time.Second
		p := cell.startOwner()
		var answers []*asyncResponse
		for i := range 20 {
			answers = append(answers, executeAsync(t.Context(), p, request("gallery.quote", fmt.Sprint(i), "")))
		}
		synctest.Wait()
		released := make(chan struct{})
		go func() {
			p.Release(t.Context())
			close(released)
		}()
		synctest.Wait()
		_, err := p.Execute(t.Context(), request("gallery.quote", "new", ""))
		wantKind(t, err, errkind.ShuttingDown)
		<-released
		for _, a := range answers {
			select {
			case <-a.done:
			default:
				synctest.Wait()
			}
			if a.err != nil {
				t.Errorf("request was interrupted: %v", a.err)
			}
		}
		if n := cell.executors.activeCount(); n != 0 {
			t.Errorf("%d requests are active after the release", n)
		}
	})
}

// Guards against a release that outlasts its context, and against queued
// requests that never get an answer.
func TestReleaseTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.runTime = 20 * time.Second
		p := cell.startOwner()
		var last *asyncResponse
		for i := range 9 {
			last = executeAsync(t.Context(), p, request("gallery.quote", fmt.Sprint(i), ""))
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		p.Release(ctx)
		<-last.done
		wantKind(t, last.err, errkind.ShuttingDown)
	})
}

// Guards against a release of an earlier ownership that ends a later one.
func TestAcquireDuringRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.runTime = time.Second
		p := cell.startOwner()
		running := executeAsync(t.Context(), p, request("gallery.quote", "a", ""))
		synctest.Wait()
		go p.Release(t.Context())
		synctest.Wait()
		p.Acquire(cell.acquireLease())
		<-running.done
		if _, err := p.Execute(t.Context(), request("gallery.quote", "b", "")); err != nil {
			t.Errorf("the new ownership does not serve: %v", err)
		}
	})
}
