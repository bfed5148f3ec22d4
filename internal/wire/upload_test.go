package wire

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// Guards against a connection that is closed as silent while a large frame is written over a
// slow link: the server answers a probe only after it has read the frame.
func TestLargeUploadIsNotSilence(t *testing.T) {
	p := proxied(t, map[api.Method]Handler{api.MethodStateDump: func(_ context.Context, payload []byte) (msgp.Marshaler, error) {
		var in api.StateDump
		return &in, Decode(payload, &in)
	}})
	c := client(t, ClientOptions{Silence: quickPolicy, OnSilent: func(s SilentConn) { t.Errorf("closed as silent: %+v", s) }})
	if err := p.Set(faultproxy.Faults{Delay: quickPolicy.ProbeAfter}); err != nil {
		t.Fatal(err)
	}
	large := &api.StateDump{Json: strings.Repeat("x", MaxFrameBytes/2)}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := c.Call(ctx, p.Address(), api.MethodStateDump, large, &api.StateDump{}); err != nil {
		t.Error(err)
	}
}
