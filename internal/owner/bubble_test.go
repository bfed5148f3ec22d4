package owner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
)

// bubbleClock is the simulated clock of a testing/synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Boot() time.Duration { return time.Hour + time.Since(c.began) }
func (c bubbleClock) Now() time.Time      { return time.Now() }

var errTenureEnded = errors.New("the tenure has ended")

// inBubble runs a test in a testing/synctest bubble and waits until no result is passed on any
// more.
func inBubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * passOnTimeout)
		test(t)
	})
}

// callHandler calls a handler of an owner with encoded messages, as another node does.
func callHandler(ctx context.Context, o *Owner, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	answer, err := o.Handlers()[method](ctx, payload)
	if err != nil {
		return err
	}
	data, err := answer.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(data)
	return err
}

// bubbleNow returns the boot time of all simulated processes in a bubble.
func bubbleNow() time.Duration { return bubbleClock{time.Unix(0, 0)}.Boot() }
