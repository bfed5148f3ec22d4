package wire

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/goleak"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/test/faultproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func identity(node string) func() Identity {
	return func() Identity { return Identity{Node: node, Incarnation: node + "-1"} }
}

// serve starts a server on a loopback port and returns its address.
func serve(t *testing.T, o ServerOptions, handlers map[api.Method]Handler) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if o.Identity == nil {
		o.Identity = identity("server")
	}
	s := NewServer(o)
	for m, h := range handlers {
		s.Handle(m, h)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s, l.Addr().String()
}

func client(t *testing.T, o ClientOptions) *Client {
	t.Helper()
	if o.Identity == nil {
		o.Identity = identity("client")
	}
	c := NewClient(o)
	t.Cleanup(c.Close)
	return c
}

// echo returns the job ID of the request.
func echo(_ context.Context, payload []byte) (msgp.Marshaler, error) {
	var in api.JobRef
	if err := Decode(payload, &in); err != nil {
		return nil, err
	}
	return &in, nil
}

// call calls job_status and returns the job ID of the response.
func call(ctx context.Context, c *Client, addr, id string) (string, error) {
	var out api.JobRef
	err := c.Call(ctx, addr, api.MethodJobStatus, &api.JobRef{Id: id}, &out)
	return out.Id, err
}

// TestResponsesReachTheirCalls checks that no response reaches another call when many calls
// share a connection, are answered in any order, and some time out before their responses
// arrive.
func TestResponsesReachTheirCalls(t *testing.T) {
	seed := time.Now().UnixNano()
	t.Logf("seed %d", seed)
	delays := rand.New(rand.NewSource(seed))
	var mu sync.Mutex
	random := func(n int) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(delays.Intn(n)) * time.Millisecond
	}
	_, addr := serve(t, ServerOptions{MaxCalls: 1000}, map[api.Method]Handler{
		api.MethodJobStatus: func(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
			time.Sleep(random(20)) // longer than the timeout of some callers
			return echo(ctx, payload)
		},
	})
	c := client(t, ClientOptions{})
	var wg sync.WaitGroup
	var answered, timedOut atomic.Int64
	for i := range 600 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			timeout := time.Minute // half of the callers wait for the response
			if i%2 == 0 {
				timeout = 5*time.Millisecond + random(10)
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			id := fmt.Sprint(i)
			got, err := call(ctx, c, addr, id)
			switch {
			case err != nil:
				timedOut.Add(1)
			case got != id:
				t.Errorf("call %s got the response of %s", id, got)
			default:
				answered.Add(1)
			}
		}()
	}
	wg.Wait()
	if answered.Load() == 0 || timedOut.Load() == 0 {
		t.Errorf("%d answered and %d timed out; both must occur", answered.Load(), timedOut.Load())
	}
}

// TestLargeMessages checks that messages within the frame limit are served, and that pings
// do not share a connection with large bodies.
func TestLargeMessages(t *testing.T) {
	_, addr := serve(t, ServerOptions{}, map[api.Method]Handler{api.MethodStateDump: func(_ context.Context, payload []byte) (msgp.Marshaler, error) {
		var in api.StateDump
		return &in, Decode(payload, &in)
	}})
	c := client(t, ClientOptions{})
	for _, size := range []int{0, 16 << 10, 20 << 10, 1 << 20, 4 << 20, MaxFrameBytes - 1024} {
		in := api.StateDump{Json: strings.Repeat("x", size)}
		var out api.StateDump
		if err := c.Call(context.Background(), addr, api.MethodStateDump, &in, &out); err != nil || out != in {
			t.Errorf("%d bytes: got %d, %v", size, len(out.Json), err)
		}
	}
	if classOf(api.MethodPing) == classOf(api.MethodExecute) {
		t.Error("pings share a connection with bodies")
	}
}

// TestErrorOutcomes checks the error kind of each way in which a call can fail. The kind
// determines the outcome, which must be not_run only if the call certainly did not start.
func TestErrorOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := closed.Addr().String()
	_ = closed.Close()
	release := make(chan struct{})
	started := make(chan struct{})
	s, addr := serve(t, ServerOptions{MaxCalls: 1}, map[api.Method]Handler{
		api.MethodJobStatus: echo,
		api.MethodCancelJob: func(context.Context, []byte) (msgp.Marshaler, error) {
			return nil, errkind.New(errkind.NotFound, "id", "no such job")
		},
		api.MethodListJobs: func(ctx context.Context, _ []byte) (msgp.Marshaler, error) {
			return &api.StateDump{Json: strings.Repeat("x", MaxFrameBytes)}, nil
		},
		api.MethodStateDump: func(ctx context.Context, _ []byte) (msgp.Marshaler, error) {
			close(started)
			<-release
			return &api.Empty{}, nil
		},
	})
	defer close(release)
	// untilStarted returns a context that ends when the call has reached the handler. With
	// a timeout instead, the context could end before the call is sent on a busy machine.
	untilStarted := func() (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		return ctx, cancel
	}
	ended := func() (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return ctx, cancel
	}
	forever := func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) }
	tests := []struct {
		name    string
		addr    string
		method  api.Method
		ctx     func() (context.Context, context.CancelFunc)
		in      msgp.Marshaler
		want    errkind.Kind
		refused bool
	}{
		{"nothing listens", refusing, api.MethodJobStatus, forever, &api.JobRef{}, errkind.OwnerUnavailable, true},
		{"error of the handler", addr, api.MethodCancelJob, forever, &api.JobRef{}, errkind.NotFound, false},
		{"unknown method", addr, api.MethodExecute, forever, &api.JobRef{}, errkind.ProtocolMismatch, false},
		{"malformed payload", addr, api.MethodJobStatus, forever, msgp.Raw{0xc1}, errkind.InvalidArgument, false},
		{"request too large", addr, api.MethodJobStatus, forever, &api.JobRef{Id: strings.Repeat("x", MaxFrameBytes)}, errkind.FrameTooLarge, false},
		{"response too large", addr, api.MethodListJobs, forever, &api.Empty{}, errkind.Internal, false},
		{"canceled before it was sent", addr, api.MethodJobStatus, ended, &api.JobRef{}, errkind.Canceled, false},
		{"no response in time", addr, api.MethodStateDump, untilStarted, &api.Empty{}, errkind.OutcomeUnknown, false},
		{"too many calls", addr, api.MethodJobStatus, forever, &api.JobRef{}, errkind.Overloaded, false},
	}
	c := client(t, ClientOptions{})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := tt.ctx()
			defer cancel()
			var out api.JobRef
			err := c.Call(ctx, tt.addr, tt.method, tt.in, &out)
			if !errkind.Is(err, tt.want) || IsConnectionRefused(err) != tt.refused {
				t.Errorf("got %v, refused %t; want %s", err, IsConnectionRefused(err), tt.want)
			}
		})
	}
	if in, out := s.Bytes(); in == 0 || out == 0 {
		t.Errorf("%d bytes in, %d out", in, out)
	}
}

// TestBrokenConnection checks that calls on a lost connection have an unknown outcome, and
// that the client connects again.
func TestBrokenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for range 2 {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := exchangeHello(conn, identity("server")().hello()); err == nil {
				_, _ = readFrame(conn) // reads the request, then closes the connection
			}
			_ = conn.Close()
		}
	}()
	c := client(t, ClientOptions{})
	for range 2 {
		if _, err := call(context.Background(), c, l.Addr().String(), "a"); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("got %v", err)
		}
	}
}

// TestVersions checks that peers without a common protocol version exchange no messages.
func TestVersions(t *testing.T) {
	tests := []struct {
		name             string
		low, high        int
		ownLow, ownHigh  int
		want             int
		wantIncompatible bool
	}{
		{"same", 1, 1, 1, 1, 1, false},
		{"highest common", 1, 4, 2, 3, 3, false},
		{"too new", 3, 4, 1, 2, 0, true},
		{"too old", 1, 1, 2, 3, 0, true},
		{"inverted", 3, 1, 1, 3, 0, true},
		{"zero", 0, 0, 0, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own := &api.Hello{MinVersion: tt.ownLow, MaxVersion: tt.ownHigh}
			got, err := commonVersion(own, &api.Hello{MinVersion: tt.low, MaxVersion: tt.high})
			if got != tt.want || errkind.Is(err, errkind.ProtocolMismatch) != tt.wantIncompatible {
				t.Errorf("got %d, %v", got, err)
			}
		})
	}
	_, addr := serve(t, ServerOptions{Identity: func() Identity { return Identity{MinVersion: 7, MaxVersion: 9} }}, nil)
	_, err := call(context.Background(), client(t, ClientOptions{}), addr, "a")
	var cause *errkind.Error
	if !errkind.Is(err, errkind.OwnerUnavailable) || !errors.As(errors.Unwrap(err), &cause) || cause.Kind != errkind.ProtocolMismatch {
		t.Errorf("call to a newer release: %v", err)
	}
}

// TestMalformedInput checks that the server closes the connection of a peer that sends
// garbage, oversized or malformed frames, and still serves others.
func TestMalformedInput(t *testing.T) {
	_, addr := serve(t, ServerOptions{}, map[api.Method]Handler{api.MethodJobStatus: echo})
	hello, err := encodeMessage(identity("x")().hello())
	if err != nil {
		t.Fatal(err)
	}
	response, err := encodeMessage(&api.Frame{Kind: api.FrameKindResponse})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string][]byte{
		"text":                   []byte("GET / HTTP/1.1\r\n\r\n"),
		"oversize hello":         {0, 0, 0x20, 0},
		"oversize frame":         append(append([]byte(nil), hello...), 0xff, 0xff, 0xff, 0xff),
		"empty frame":            append(append([]byte(nil), hello...), 0, 0, 0, 0),
		"malformed frame":        append(append([]byte(nil), hello...), 0, 0, 0, 1, 0xc1),
		"response from a client": append(append([]byte(nil), hello...), response...),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = conn.Write(data)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			buf := make([]byte, 1024)
			for err == nil {
				_, err = conn.Read(buf)
			}
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Error("the connection was left open")
			}
		})
	}
	if got, err := call(context.Background(), client(t, ClientOptions{}), addr, "a"); got != "a" {
		t.Errorf("the server does not serve others: %v", err)
	}
}

// longCall is a call that runs until it is released.
type longCall struct {
	server  *Server
	addr    string // of the server
	client  *Client
	release chan<- struct{} // is closed to end the call
	result  <-chan error
}

// startLongCall returns a call that its server runs.
func startLongCall(t *testing.T) *longCall {
	t.Helper()
	running, release := make(chan struct{}), make(chan struct{})
	s, addr := serve(t, ServerOptions{}, map[api.Method]Handler{
		api.MethodJobStatus: echo,
		api.MethodStateDump: func(context.Context, []byte) (msgp.Marshaler, error) {
			close(running)
			<-release
			return &api.StateDump{Json: "{}"}, nil
		},
	})
	c := client(t, ClientOptions{})
	result := make(chan error, 1)
	go func() {
		var out api.StateDump
		result <- c.Call(context.Background(), addr, api.MethodStateDump, &api.Empty{}, &out)
	}()
	<-running
	return &longCall{server: s, addr: addr, client: c, release: release, result: result}
}

// TestShutdown checks that a planned stop neither interrupts running calls nor starts new
// ones.
func TestShutdown(t *testing.T) {
	long := startLongCall(t)
	s, addr, c := long.server, long.addr, long.client
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	for { // until Shutdown has begun to refuse calls
		_, err := call(context.Background(), c, addr, "a")
		if refusedByStop(err) {
			break
		}
		if err != nil {
			t.Fatalf("call before Shutdown took effect: %v", err)
		}
	}
	close(long.release)
	if err := <-long.result; err != nil {
		t.Errorf("running call: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// refusedByStop reports whether a call was certainly not run because its server is stopping:
// the server refused it, or the client did not send it after the go-away frame.
func refusedByStop(err error) bool {
	return errkind.Is(err, errkind.ShuttingDown) ||
		errkind.Is(err, errkind.OwnerUnavailable) && errors.Is(err, errGoAway) && !IsConnectionRefused(err)
}

// TestCallAfterGoAwayIsNotDialed guards against a call that reports a refused
// connection, as if the process had ended, while the process still serves other calls.
func TestCallAfterGoAwayIsNotDialed(t *testing.T) {
	long := startLongCall(t)
	s, addr, c := long.server, long.addr, long.client
	conn, err := c.connection(context.Background(), connKey{addr, classData})
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	for !conn.unusable() { // until the client has the go-away frame
		time.Sleep(time.Millisecond)
	}
	if _, err := call(context.Background(), c, addr, "a"); !refusedByStop(err) {
		t.Errorf("during the stop: %v", err)
	}
	if _, _, err := conn.registerCall(); !refusedByStop(err) {
		t.Errorf("call that had the connection before the go-away frame: %v", err)
	}
	close(long.release)
	if err := <-long.result; err != nil {
		t.Errorf("running call: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if _, err := call(context.Background(), c, addr, "a"); !IsConnectionRefused(err) {
		t.Errorf("after the stop: %v", err)
	}
}

// TestShutdownOfBusyServer checks that no call has an unknown outcome because the call or
// its response was in transit when the server stopped.
func TestShutdownOfBusyServer(t *testing.T) {
	s, addr := serve(t, ServerOptions{}, map[api.Method]Handler{api.MethodJobStatus: echo})
	proxy, err := faultproxy.New(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	if err := proxy.Set(faultproxy.Faults{Delay: 30 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	c := client(t, ClientOptions{})
	var callers sync.WaitGroup
	var answered, refused atomic.Int64
	for range 20 {
		callers.Go(func() {
			for refused.Load() < 100 {
				_, err := call(context.Background(), c, proxy.Address(), "a")
				switch {
				case err == nil:
					answered.Add(1)
				case errkind.From(err).Outcome() == errkind.NotRun:
					refused.Add(1)
				default:
					t.Error(err)
					return
				}
			}
		})
	}
	for answered.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	if err := s.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took >= goAwayTimeout {
		t.Errorf("the clients did not close their connections; Shutdown took %v", took)
	}
	if err := proxy.Set(faultproxy.Faults{Refuse: true}); err != nil {
		t.Error(err)
	}
	callers.Wait()
}
