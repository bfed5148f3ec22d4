package owner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// failingAdviser answers no call.
type failingAdviser struct{}

func (failingAdviser) Advise(context.Context, *api.AdviceCall) (*api.AdviceAnswer, error) {
	return nil, errors.New("no answer")
}

// Guards against valid tickets of an earlier owner that are dropped because a call about
// other workers of the step fails.
func TestInheritedTicketsOutlastAFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCellOwners(failingAdviser{})
		tenure := c.takeOver("n0", 1)
		now := tenure.options.Clock.Boot()
		tenure.inherited.add(&adviceResult{"0000000000000001.0.0", map[string]advice{"w1": {"earlier", now + 3*time.Second}}})
		r, err := tenure.obtainAdvice(t.Context(), longAdviceCall("w1", "w2"))
		if err == nil && r.tickets()["w1"] == "earlier" {
			return
		}
		if known, _, _ := tenure.inherited.take("0000000000000001.0.0", []string{"w1"}); known["w1"].ticket != "earlier" {
			t.Errorf("after %v: the inherited ticket is neither returned nor kept", err)
		}
	})
}
