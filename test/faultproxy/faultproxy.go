// Package faultproxy relays TCP connections for tests and injects faults that can be
// changed at run time. It is independent of the protocol relayed.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/test/loopback"
)

const (
	dialTimeout = 2 * time.Second
	bufferBytes = 32 << 10
)

// Faults are the faults of a proxy. The zero value relays everything without delay.
// Changes also apply to open connections. A request is data from the client, the side
// that connects; an answer is data from the target.
type Faults struct {
	// Refuse closes the listener, so that connecting fails, and all open connections. The
	// proxy keeps its port.
	Refuse bool
	// CloseOnData closes each connection as soon as data arrives on it.
	CloseOnData bool
	// DropRequests and DropAnswers discard the data of one direction and do not relay
	// the end of that direction; both together are a black hole. Connecting still
	// succeeds.
	DropRequests bool
	DropAnswers  bool
	// Delay delays the data in each direction. It does not limit the throughput.
	Delay time.Duration
	// AnswerDelay delays answers in place of Delay, unless it is 0.
	AnswerDelay time.Duration
	// CutAnswerAfter closes each connection after that many bytes of answers, counted
	// per connection since the fault was set; 0 for never.
	CutAnswerAfter int
}

// delay returns how long the data of one direction is delayed.
func (f *Faults) delay(answers bool) time.Duration {
	if answers && f.AnswerDelay > 0 {
		return f.AnswerDelay
	}
	return f.Delay
}

// Proxy relays from a loopback port to a target.
type Proxy struct {
	port   *loopback.Port // bound until Close, so that no other process gets it after Refuse
	target string

	mu            sync.Mutex
	faults        Faults
	faultsVersion int           // number of changes of the faults
	faultsChanged chan struct{} // closed and replaced when the faults change
	listener      net.Listener
	conns         map[*connection]struct{}
	closed        bool
	goroutines    sync.WaitGroup
}

// New starts a proxy that relays to target, of the form host:port.
func New(target string) (*Proxy, error) {
	port, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	l, err := port.Listen()
	if err != nil {
		port.Close()
		return nil, err
	}
	p := &Proxy{
		port:          port,
		target:        target,
		faultsChanged: make(chan struct{}),
		conns:         map[*connection]struct{}{},
	}
	p.serve(l)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.port.Address() }

// Set replaces the faults. It fails if the proxy is closed or if the listener cannot be
// opened again after Refuse.
func (p *Proxy) Set(f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("the proxy is closed")
	}
	p.faults = f
	p.faultsVersion++
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	if f.Refuse {
		p.stopListeningLocked()
		return nil
	}
	if p.listener != nil {
		return nil
	}
	l, err := p.port.Listen()
	if err != nil {
		return errors.Wrap(err, "reopen the listener")
	}
	p.serve(l)
	return nil
}

// CutConnections closes all open connections once.
func (p *Proxy) CutConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnectionsLocked()
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes the listener and all connections, releases the port and waits until all
// goroutines have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.stopListeningLocked()
	p.port.Close()
	p.mu.Unlock()
	p.goroutines.Wait()
}

func (p *Proxy) stopListeningLocked() {
	if p.listener != nil {
		_ = p.listener.Close() // an error cannot be handled
		p.listener = nil
	}
	p.closeConnectionsLocked()
}

func (p *Proxy) closeConnectionsLocked() {
	for c := range p.conns {
		c.close()
	}
}

// serve starts accepting connections. The caller holds mu or the only reference to p.
func (p *Proxy) serve(l net.Listener) {
	p.listener = l
	p.goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // closed by Set or Close
			}
			p.goroutines.Go(func() { p.relay(conn) })
		}
	})
}

// SilenceOpen discards all further data and the end of the given directions of the
// connections that are open now. It does not affect connections that are opened later.
func (p *Proxy) SilenceOpen(requests, answers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silentRequests.Store(requests)
		c.silentAnswers.Store(answers)
	}
}

// currentFaults returns the faults and their version.
func (p *Proxy) currentFaults() (Faults, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsVersion
}

// faultChangeIfDropped returns a channel that is closed when the faults change, or nil if
// the direction is currently not dropped.
func (p *Proxy) faultChangeIfDropped(answers bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answers && p.faults.DropAnswers || !answers && p.faults.DropRequests {
		return p.faultsChanged
	}
	return nil
}

// relay connects to the target and relays until both directions have ended.
func (p *Proxy) relay(client net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{proxy: p, client: client, ctx: ctx, cancel: cancel}
	if !p.add(c) {
		c.close()
		return
	}
	defer p.remove(c)
	defer c.close()
	if !c.connect(p.target) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.relayDirection(c.server, client, false) })
	wg.Go(func() { c.relayDirection(client, c.server, true) })
	wg.Wait()
}

// add registers a connection and reports false if the proxy refuses connections.
func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faults.Refuse {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}
