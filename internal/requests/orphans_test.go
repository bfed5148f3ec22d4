package requests

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Guards against a slot that is given away twice: a request that was sent and
// given up may reach its executor after a status that does not count it.
func TestLostRequestIsCountedUntilItMustHaveArrived(t *testing.T) {
	lost := time.Minute
	listed := []api.ActiveRequest{}
	for _, tc := range []struct {
		name  string
		asked time.Duration // when the status was asked for, after the loss
		st    api.ExecutorStatus
		want  int
	}{
		{"count at once", 0, api.ExecutorStatus{Active: 1}, 2},
		{"count before the margin", arrivalMargin - 1, api.ExecutorStatus{Active: 1}, 2},
		{"count after the margin", arrivalMargin, api.ExecutorStatus{Active: 1}, 1},
		{"list at once", 0, api.ExecutorStatus{Requests: listed}, 1},
		{"list after the margin", arrivalMargin, api.ExecutorStatus{Requests: listed}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := orphans{byKey: map[callKey]int{}}
			o.lost(lost-arrivalMargin, callKey{"cutting", "early"})
			o.lost(lost-arrivalMargin, callKey{"cutting", "early too"})
			o.lost(lost, callKey{"cutting", "late"})
			mark := o.settled(lost + tc.asked)
			o.update(lost+tc.asked, &tc.st, map[callKey]bool{}, mark, false)
			if got := o.count(); got != tc.want {
				t.Errorf("%d slots count as taken, want %d", got, tc.want)
			}
		})
	}
}
