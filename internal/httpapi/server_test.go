package httpapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const waitTimeout = 10 * time.Second

// dialAndSend opens a TCP connection to the server and sends text on it.
func (f *fixture) dialAndSend(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.http.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func rawRequest(header, body string) string {
	return "POST /v1/queues/gallery.quote/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerKey + "\r\n" + header + "\r\n" + body
}

// Guards against malformed HTTP that is accepted, makes a request run, or is
// answered with a wrong error.
func TestRawInput(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("a", 64<<10))
	cases := []struct {
		name   string
		text   string
		status int
		kind   string
	}{
		{"no HTTP", "\x00\x01\x02\r\n\r\n", 400, ""},
		{"header far over the limit", rawRequest("X: "+strings.Repeat("a", 60<<10)+"\r\n", ""), 431, ""},
		{"header over the limit", rawRequest("X: "+strings.Repeat("a", 20<<10)+"\r\nContent-Length: 0\r\nConnection: close\r\n", ""), 431, "header_too_large"},
		{"two lengths", rawRequest("Content-Length: 1\r\nContent-Length: 2\r\n", "x"), 400, ""},
		{"chunked body over the limit", rawRequest("Transfer-Encoding: chunked\r\n", strings.Repeat(chunk, 17)), 413, "body_too_large"},
		{"broken chunk", rawRequest("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400, "invalid_argument"},
		{"body that stops", rawRequest("Content-Length: 10\r\n", "x"), 504, "deadline_exceeded"},
		{"body that stops after a wrong key", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer x\r\nContent-Length: 10\r\n\r\nx", 401, "unauthenticated"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, api.Limits{})
			f.server.bodyTimeout = 200 * time.Millisecond
			conn := f.dialAndSend(t, c.text)
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != c.status || resp.Header.Get("Error-Kind") != c.kind {
				t.Errorf("got %d %q, want %d %q", resp.StatusCode, resp.Header.Get("Error-Kind"), c.status, c.kind)
			}
			if _, err := io.Copy(io.Discard, r); err != nil && c.kind != "body_too_large" {
				t.Errorf("the connection stays open: %v", err)
			}
			if f.backend.lastExecuted() != nil {
				t.Error("the request was executed")
			}
		})
	}
}

// Guards against a caller that holds a connection without sending its header.
func TestSlowHeader(t *testing.T) {
	f := newFixture(t, api.Limits{}, func(s *http.Server) {
		if s.ReadHeaderTimeout != headerTimeout {
			t.Errorf("header timeout is %v", s.ReadHeaderTimeout)
		}
		s.ReadHeaderTimeout = 100 * time.Millisecond
	})
	conn := f.dialAndSend(t, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n")
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("the connection stays open: %v", err)
	}
}

// Guards against a call that continues after its caller disconnected, and against
// more open calls than the limit.
func TestOpenCalls(t *testing.T) {
	f := newFixture(t, api.Limits{MaxOpenRequests: 1})
	ctx, cancel := context.WithCancel(t.Context())
	post := func(ctx context.Context, body string) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.http.URL+"/v1/queues/open.check/requests", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := f.http.Client().Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return resp, err
	}
	first := make(chan error, 1)
	go func() {
		_, err := post(ctx, "block")
		first <- err
	}()
	waitFor(t, func() bool { return f.backend.lastExecuted() != nil })
	resp, err := post(t.Context(), "x")
	if err != nil || resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" {
		t.Errorf("second call got %+v, %v", resp, err)
	}
	cancel()
	if err := <-first; err == nil {
		t.Error("the canceled call got a response")
	}
	waitFor(t, func() bool { return f.server.openCalls.Load() == 0 })
	if resp, err := post(t.Context(), "x"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("call after that got %+v, %v", resp, err)
	}
}

// Guards against a body timeout that ends a call whose body has been read but
// whose handler runs longer.
func TestLongCall(t *testing.T) {
	f := newFixture(t, api.Limits{})
	f.server.bodyTimeout = 50 * time.Millisecond
	conn := f.dialAndSend(t, rawRequest("Content-Length: 5\r\n", "block"))
	time.AfterFunc(4*f.server.bodyTimeout, func() { close(f.backend.block) })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Guards against a caller's deadline that is ignored or that exceeds the limit of
// the queue.
func TestDeadlines(t *testing.T) {
	cases := []struct {
		name, header string
		least, most  int // milliseconds
	}{
		{"of the queue", "", 29000, 30000},
		{"of the caller", "2026-05-01T08:00:02.5Z", 1500, 2500},
		{"of the caller in another zone", "2026-05-01T10:00:02.5+02:00", 1500, 2500},
		{"of the caller beyond the queue", "2026-05-01T09:00:00Z", 29000, 30000},
	}
	f := newFixture(t, api.Limits{})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.http.URL+"/v1/queues/open.check/requests", strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			if c.header != "" {
				req.Header.Set("Request-Deadline", c.header)
			}
			resp, err := f.http.Client().Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if got := f.backend.lastExecuted().TimeoutMs; got < c.least || got > c.most {
				t.Errorf("timeout is %d ms, want %d to %d", got, c.least, c.most)
			}
		})
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not hold in time")
		}
	}
}
