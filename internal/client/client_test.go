package client

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

func newClient(t *testing.T, o Options) *Client {
	t.Helper()
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// refusingAddress returns an address that refuses connections because its listener
// is closed.
func refusingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a client that does not try the next address when a node is down,
// and against one that repeats a call that a node may have executed.
func TestAddressesAreTriedInOrder(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		hijacked, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			hijacked.Close()
		}
	}))
	defer server.Close()
	c := newClient(t, Options{Addresses: []string{refusingAddress(t), server.URL, server.URL}})
	_, err := c.Send(context.Background(), Request{Queue: "t.q", ID: "1", Body: []byte("x")})
	if !errkind.Is(err, errkind.OutcomeUnknown) || calls.Load() != 1 {
		t.Errorf("got %v after %d calls, want outcome_unknown after 1", err, calls.Load())
	}
	c = newClient(t, Options{Addresses: []string{refusingAddress(t)}})
	_, err = c.Send(context.Background(), Request{Queue: "t.q", ID: "1"})
	if !errkind.Is(err, errkind.OwnerUnavailable) {
		t.Errorf("all refused: got %v, want owner_unavailable, whose outcome is not_run", err)
	}
}

// Guards against taking a truncated or oversized response for a complete one, taking
// the status of an upstream for an error of endivehill, and sending the key to the
// address of a redirect.
func TestResponses(t *testing.T) {
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		kind    errkind.Kind // empty for a response of the upstream
	}{
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			fmt.Fprint(w, "half")
		}, errkind.OutcomeUnknown},
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.CopyN(w, zeros{}, maxResponseBytes+1)
		}, errkind.OutcomeUnknown},
		{"too late", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body
			<-r.Context().Done()
		}, errkind.OutcomeUnknown},
		{"API error", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"error":{"kind":"overloaded","field":"queue","reason":"full","outcome":"not_run"}}`)
		}, errkind.Overloaded},
		{"status of the upstream", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTeapot)
			fmt.Fprint(w, `{"error":"no coffee"}`)
		}, ""},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/elsewhere" {
				t.Error("redirect was followed")
			}
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			c := newClient(t, Options{Addresses: []string{server.URL}, Key: "secret", Timeout: 200 * time.Millisecond})
			_, err := c.Send(context.Background(), Request{Queue: "t.q", ID: "1", Body: []byte("x")})
			if tc.kind == "" && err != nil || tc.kind != "" && !errkind.Is(err, tc.kind) {
				t.Errorf("got %v, want kind %q", err, tc.kind)
			}
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a change that succeeds although nodes have not confirmed it, and
// against losing all but the first of several errors.
func TestChanges(t *testing.T) {
	status, body := http.StatusAccepted, `{"version":3,"confirmed":false,"unconfirmed_nodes":["node-2"]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	defer server.Close()
	c := newClient(t, Options{Addresses: []string{server.URL}})
	out, err := c.Apply(context.Background(), api.ConfigApply{})
	if !errkind.Is(err, errkind.Unconfirmed) || !strings.Contains(err.Error(), "node-2") || out.Version != 3 {
		t.Errorf("got %v, %v, want unconfirmed by node-2", out, err)
	}
	status = http.StatusBadRequest
	body = `{"error":{"kind":"invalid_argument","field":"a","reason":"x","outcome":"not_run"},"errors":[
		{"kind":"invalid_argument","field":"a","reason":"x","outcome":"not_run"},
		{"kind":"invalid_argument","field":"b","reason":"y","outcome":"not_run"}]}`
	_, err = c.Plan(context.Background(), api.ConfigApply{})
	if !errkind.Is(err, errkind.InvalidArgument) || !strings.Contains(err.Error(), "b: y") {
		t.Errorf("got %v, want both errors", err)
	}
}

// Guards against names that address another object, and against malformed addresses,
// which could send the key to a wrong place.
func TestNamesAndAddresses(t *testing.T) {
	c := newClient(t, Options{Addresses: []string{refusingAddress(t)}})
	for _, id := range []string{"", ".", ".."} {
		if _, err := c.Job(context.Background(), "", id); !errkind.Is(err, errkind.InvalidArgument) {
			t.Errorf("job %q: got %v, want invalid_argument", id, err)
		}
	}
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:", "ftp://10.0.0.1:21", "http://"} {
		if _, err := New(Options{Addresses: []string{address}}); !errkind.Is(err, errkind.InvalidArgument) {
			t.Errorf("address %q: got %v, want invalid_argument", address, err)
		}
	}
}
