package integration

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/test/faultproxy"
)

const maxHelloBytes = 64 << 10

// gate listens on the address that a node advertises to its peers. It relays each
// connection through a fault proxy of its own for the node that connects, which
// the first frame names, so that any pair of nodes can be cut in either direction.
type gate struct {
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	proxies  map[string]*faultproxy.Proxy // by the node that connects
	closed   bool
	wg       sync.WaitGroup
}

func newGate(t *testing.T, address, target string) *gate {
	t.Helper()
	g := &gate{address: address, target: target, conns: map[net.Conn]struct{}{}, proxies: map[string]*faultproxy.Proxy{}}
	g.open(t)
	return g
}

// open starts to accept connections.
func (g *gate) open(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil || g.closed {
		return
	}
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		t.Fatalf("listen on %s: %v", g.address, err)
	}
	g.listener = l
	g.wg.Go(func() { g.accept(l) })
}

// refuse makes the address refuse connections, as that of a process that ended.
func (g *gate) refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		_ = g.listener.Close()
		g.listener = nil
	}
	for c := range g.conns {
		_ = c.Close()
	}
}

func (g *gate) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed by refuse
		}
		g.wg.Go(func() { g.relay(c) })
	}
}

// proxy returns the fault proxy for connections from a node.
func (g *gate) proxy(from string) (*faultproxy.Proxy, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.proxies[from]; ok {
		return p, nil
	}
	if g.closed {
		return nil, net.ErrClosed
	}
	p, err := faultproxy.New(g.target)
	if err == nil {
		g.proxies[from] = p
	}
	return p, err
}

func (g *gate) track(c net.Conn, open bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !open {
		delete(g.conns, c)
		_ = c.Close()
		return false
	}
	if g.listener == nil {
		_ = c.Close()
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

func (g *gate) relay(c net.Conn) {
	if !g.track(c, true) {
		return
	}
	defer g.track(c, false)
	from, first, err := readHello(c)
	if err != nil {
		return
	}
	p, err := g.proxy(from)
	if err != nil {
		return
	}
	server, err := net.Dial("tcp", p.Address())
	if err != nil {
		return
	}
	if !g.track(server, true) {
		return
	}
	defer g.track(server, false)
	if _, err := server.Write(first); err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = io.Copy(server, c); _ = server.(*net.TCPConn).CloseWrite() })
	wg.Go(func() { _, _ = io.Copy(c, server); _ = c.(*net.TCPConn).CloseWrite() })
	wg.Wait()
}

// readHello reads the first frame of a connection and returns the node it names.
func readHello(c net.Conn) (node string, frame []byte, err error) {
	prefix := make([]byte, 4)
	if _, err = io.ReadFull(c, prefix); err != nil {
		return "", nil, err
	}
	n := binary.BigEndian.Uint32(prefix)
	if n > maxHelloBytes {
		return "", nil, io.ErrShortBuffer
	}
	frame = append(prefix, make([]byte, n)...)
	if _, err = io.ReadFull(c, frame[len(prefix):]); err != nil {
		return "", nil, err
	}
	var hello api.Hello
	_, err = hello.UnmarshalMsg(frame[len(prefix):])
	return hello.Node, frame, err
}

// set changes the faults of connections from a node.
func (g *gate) set(t *testing.T, from string, f faultproxy.Faults) {
	t.Helper()
	p, err := g.proxy(from)
	if err == nil {
		err = p.Set(f)
	}
	if err != nil {
		t.Fatalf("faults between nodes: %v", err)
	}
}

func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.refuse()
	for _, p := range g.proxies {
		p.Close()
	}
	g.wg.Wait()
}
