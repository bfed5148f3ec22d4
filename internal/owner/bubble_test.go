package owner

import (
	"context"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
)

// bubbleClock is the simulated clock of a testing/synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Boot() time.Duration { return time.Hour + time.Since(c.began) }
func (c bubbleClock) Now() time.Time      { return time.Now() }

var errTenureEnded = errors.New("the tenure has ended")

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
