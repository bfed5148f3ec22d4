package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// When an idle connection fails before the first byte of a request, net/http must not send
// the request on another connection. Only the caller of Execute may retry it.
func TestExecuteIsNotMovedToAnotherConnection(t *testing.T) {
	for name, body := range map[string][]byte{"with body": []byte("x"), "without body": nil} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
			}))
			defer s.Close()
			client := NewExecutorClient(UpstreamOptions{})
			defer client.CloseIdleConnections()
			vm := api.VM{Id: "vm-1", ExecutorAddress: strings.TrimPrefix(s.URL, "http://")}
			var conn net.Conn
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
				GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
			})
			call := &api.ExecutorCall{RequestId: "r-1", Body: body}
			if _, err := client.Execute(ctx, vm, call); err != nil {
				t.Fatal(err)
			}
			conn.(*trackedConn).blockWrites(0) // the next write fails before its first byte
			_, err := client.Execute(ctx, vm, call)
			if !errkind.Is(err, errkind.UpstreamUnavailable) {
				t.Errorf("got %v, want upstream_unavailable", err)
			}
			if n := calls.Load(); n != 1 {
				t.Errorf("%d requests arrived, want 1", n)
			}
		})
	}
}
