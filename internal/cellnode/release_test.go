package cellnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an owner that keeps the cell for so long that no time is left for the release
// and for calls in progress.
func TestWaitBeforeTheReleaseFitsInTheGraceTime(t *testing.T) {
	for _, tt := range []struct{ graceTime, want time.Duration }{
		{6 * time.Second, 2800 * time.Millisecond},
		{4 * time.Second, 800 * time.Millisecond},
		{3 * time.Second, 0},
		{0, 0},
	} {
		grace := tt.graceTime - shutdownReserve
		got := latestReleaseAfter(grace)
		if got != tt.want {
			t.Errorf("grace time %v: waits %v, want %v", tt.graceTime, got, tt.want)
		}
		if got > 0 && got+handOverTimeout+responseReserve > grace {
			t.Errorf("grace time %v: a wait of %v is too long", tt.graceTime, got)
		}
	}
}

// stoppingOwner is an owner with or without a fit successor that notes when it releases the cell.
type stoppingOwner struct {
	began       time.Time
	noSuccessor bool
	released    time.Duration // since began
}

func (o *stoppingOwner) OwnsCell() bool { return o.released == 0 }

func (o *stoppingOwner) AwaitLoss(ctx context.Context) { <-ctx.Done() }

func (o *stoppingOwner) AwaitFitSuccessor(ctx context.Context) {
	if o.noSuccessor {
		<-ctx.Done()
	}
}

func (o *stoppingOwner) HandOver(context.Context) { o.released = time.Since(o.began) }

// Guards against owners that follow each other faster than tasks can be placed, because each one
// releases the cell as soon as its stop begins; and against a stop that takes longer for it.
func TestStoppingOwnerKeepsTheCellWhileItServesCallers(t *testing.T) {
	const grace = 5300 * time.Millisecond
	for _, noSuccessor := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			o := &stoppingOwner{began: time.Now(), noSuccessor: noSuccessor}
			releaseCell(t.Context(), grace, o, o)
			want := unreadyWait - usualReleaseTime
			if noSuccessor {
				want = latestReleaseAfter(grace)
			}
			if o.released != want {
				t.Errorf("no successor %v: released after %v, want %v", noSuccessor, o.released, want)
			}
		})
	}
}

// slowRelease is an owner without a successor whose release does not end.
type slowRelease struct {
	began             time.Time
	released, givenUp time.Duration // since began
}

func (r *slowRelease) OwnsCell() bool { return true }

func (r *slowRelease) AwaitLoss(ctx context.Context) { <-ctx.Done() }

func (r *slowRelease) AwaitFitSuccessor(ctx context.Context) { <-ctx.Done() }

func (r *slowRelease) HandOver(ctx context.Context) {
	r.released = time.Since(r.began)
	<-ctx.Done()
	r.givenUp = time.Since(r.began)
}

// Guards against a stopping owner that does not wait for a fit successor, and against a release
// that has no time left after the wait.
func TestReleaseFollowsTheWaitForASuccessor(t *testing.T) {
	for _, grace := range []time.Duration{5300 * time.Millisecond, 3300 * time.Millisecond, 2300 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), grace)
			defer cancel()
			r := &slowRelease{began: time.Now()}
			releaseCell(ctx, grace, r, r)
			if want := latestReleaseAfter(grace); r.released != want {
				t.Errorf("%v to stop: released after %v, want %v", grace, r.released, want)
			}
			if want := min(latestReleaseAfter(grace)+handOverTimeout, grace); r.givenUp != want {
				t.Errorf("%v to stop: the release was given up after %v, want %v", grace, r.givenUp, want)
			}
		})
	}
}

// newTenure is an owner that learns of its tenure only after the first tries to end it.
type newTenure struct{ unknownFor, tries int }

func (n *newTenure) OwnsCell() bool { return n.tries <= n.unknownFor }

func (n *newTenure) AwaitLoss(context.Context) {}

func (n *newTenure) AwaitFitSuccessor(context.Context) {}

func (n *newTenure) HandOver(context.Context) { n.tries++ }

// Guards against an owner that keeps the cell until its process ends because its stop began
// between the claim and the start of the tenure.
func TestTenureThatBeginsDuringAStopIsReleased(t *testing.T) {
	for unknownFor := range 3 {
		synctest.Test(t, func(t *testing.T) {
			n := &newTenure{unknownFor: unknownFor}
			releaseCell(t.Context(), time.Minute, n, n)
			if n.tries != unknownFor+1 {
				t.Errorf("%d tries to end a tenure that is unknown to the first %d", n.tries, unknownFor)
			}
		})
	}
}
