// Package faultproxy relays TCP connections for tests, with faults that are
// switched at run time. It knows nothing of the protocol relayed.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout = 2 * time.Second
	bufferBytes = 32 << 10
)

// Faults of a proxy. The zero value relays everything at once. Changes apply to
// open connections too. "Request" is the direction from the side that connects,
// "answer" the other one.
type Faults struct {
	// Refuse closes the listener, so that connecting fails, and open connections.
	Refuse bool
	// Cut closes each connection when something is to be relayed on it.
	Cut bool
	// DropRequests and DropAnswers discard what is sent, and hold back the end of
	// the connection; both together are a black hole. Connecting still succeeds.
	DropRequests bool
	DropAnswers  bool
	// Delay is added to what is relayed in each direction. It does not bound the
	// throughput.
	Delay time.Duration
	// CutAnswerAfter closes each connection after that many bytes of answers,
	// counted per connection from when the fault was set; 0 for never.
	CutAnswerAfter int
}

// Proxy relays from a loopback port to a target.
type Proxy struct {
	address string
	target  string

	mu       sync.Mutex
	faults   Faults
	version  int           // counts changes of the faults
	changed  chan struct{} // closed and replaced when the faults change
	listener net.Listener
	links    map[*link]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// New starts a proxy to a target of the form host:port.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on a loopback port")
	}
	p := &Proxy{
		address: l.Addr().String(),
		target:  target,
		changed: make(chan struct{}),
		links:   map[*link]struct{}{},
	}
	p.serve(l)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Set replaces the faults. The error tells that the listener could not be opened
// again after Refuse.
func (p *Proxy) Set(f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("the proxy is closed")
	}
	p.faults = f
	p.version++
	close(p.changed)
	p.changed = make(chan struct{})
	if f.Refuse {
		p.stopLocked()
		return nil
	}
	if p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	p.serve(l)
	return nil
}

// CutConnections closes all open connections once.
func (p *Proxy) CutConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutLocked()
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// Close closes the listener and all connections and waits for their end.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.stopLocked()
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) stopLocked() {
	if p.listener != nil {
		_ = p.listener.Close() // nothing can be done about an error
		p.listener = nil
	}
	p.cutLocked()
}

func (p *Proxy) cutLocked() {
	for l := range p.links {
		l.close()
	}
}

// serve accepts connections. The caller holds mu, or has the only reference.
func (p *Proxy) serve(l net.Listener) {
	p.listener = l
	p.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // closed by Set or Close
			}
			p.wg.Go(func() { p.relay(conn) })
		}
	})
}

// current returns the faults and their version.
func (p *Proxy) current() (Faults, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.version
}

// dropped returns a channel that is closed when the faults change, or nil if a
// direction is not dropped now.
func (p *Proxy) dropped(answers bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answers && p.faults.DropAnswers || !answers && p.faults.DropRequests {
		return p.changed
	}
	return nil
}

// relay connects to the target and relays until both directions ended.
func (p *Proxy) relay(client net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{proxy: p, client: client, ctx: ctx, cancel: cancel}
	if !p.add(l) {
		l.close()
		return
	}
	defer p.remove(l)
	defer l.close()
	if !l.connect(p.target) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(l.server, client, false) })
	wg.Go(func() { l.pump(client, l.server, true) })
	wg.Wait()
}

// add registers a link unless the proxy refuses connections.
func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faults.Refuse {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}
