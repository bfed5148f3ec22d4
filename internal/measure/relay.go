package measure

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Counter counts the bytes and connections of one or more relays.
type Counter struct{ sent, received, opened atomic.Int64 }

// Traffic is a reading of a Counter.
type Traffic struct {
	Sent     int64 // bytes to the target
	Received int64 // bytes from the target
	Opened   int64 // opened connections
}

// Read returns the counts so far.
func (c *Counter) Read() Traffic {
	return Traffic{c.sent.Load(), c.received.Load(), c.opened.Load()}
}

// Bytes returns the bytes in both directions since an earlier reading.
func (t Traffic) Bytes(before Traffic) float64 {
	return float64(t.Sent + t.Received - before.Sent - before.Received)
}

// relay forwards TCP connections to a target and counts their bytes.
type relay struct {
	listener net.Listener
	target   string
	counter  *Counter

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	closed     bool
	goroutines sync.WaitGroup
}

// startRelay starts a relay on a free port of the given IP address.
func startRelay(ip, target string, counter *Counter) (*relay, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "start a relay")
	}
	r := &relay{listener: l, target: target, counter: counter, conns: map[net.Conn]struct{}{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.serve(in) })
	}
}

func (r *relay) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !r.track(in, out) {
		return
	}
	defer r.untrack(in, out)
	r.counter.opened.Add(1)
	var answers sync.WaitGroup
	answers.Go(func() {
		copyCounted(in, out, &r.counter.received)
		in.Close()
	})
	copyCounted(out, in, &r.counter.sent)
	out.Close()
	answers.Wait()
}

// copyCounted copies until either side fails or ends, and adds the bytes read to
// count.
func copyCounted(to io.Writer, from io.Reader, count *atomic.Int64) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		count.Add(int64(n))
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// track adds connections that close must close, and reports whether the relay is still
// open.
func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

func (r *relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}
