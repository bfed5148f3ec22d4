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

// peerRelay listens on the address that a node advertises to its peers. It relays each
// connection through a fault proxy for the connecting node, which it learns from the
// first frame, so that faults can be set for each pair of nodes and each direction.
type peerRelay struct {
	address string
	target  string

	mu         sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]struct{}
	proxies    map[string]*faultproxy.Proxy // by name of the connecting node
	closed     bool
	goroutines sync.WaitGroup
}

func newPeerRelay(t *testing.T, address, target string) *peerRelay {
	t.Helper()
	r := &peerRelay{address: address, target: target, conns: map[net.Conn]struct{}{}, proxies: map[string]*faultproxy.Proxy{}}
	r.open(t)
	return r
}

// open starts accepting connections.
func (r *peerRelay) open(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.closed {
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		t.Fatalf("listen on %s: %v", r.address, err)
	}
	r.listener = l
	r.goroutines.Go(func() { r.accept(l) })
}

// refuse makes the address refuse connections, as if no process listened on it.
func (r *peerRelay) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *peerRelay) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed by refuse
		}
		r.goroutines.Go(func() { r.relay(c) })
	}
}

// proxy returns the fault proxy for connections from a node.
func (r *peerRelay) proxy(from string) (*faultproxy.Proxy, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.proxies[from]; ok {
		return p, nil
	}
	if r.closed {
		return nil, net.ErrClosed
	}
	p, err := faultproxy.New(r.target)
	if err == nil {
		r.proxies[from] = p
	}
	return p, err
}

// track registers a connection or, if open is false, closes and removes it. It reports
// whether the connection was registered.
func (r *peerRelay) track(c net.Conn, open bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !open {
		delete(r.conns, c)
		_ = c.Close()
		return false
	}
	if r.listener == nil {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *peerRelay) relay(c net.Conn) {
	if !r.track(c, true) {
		return
	}
	defer r.track(c, false)
	from, first, err := readHello(c)
	if err != nil {
		return
	}
	p, err := r.proxy(from)
	if err != nil {
		return
	}
	server, err := net.Dial("tcp", p.Address())
	if err != nil {
		return
	}
	if !r.track(server, true) {
		return
	}
	defer r.track(server, false)
	if _, err := server.Write(first); err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = io.Copy(server, c); _ = server.(*net.TCPConn).CloseWrite() })
	wg.Go(func() { _, _ = io.Copy(c, server); _ = c.(*net.TCPConn).CloseWrite() })
	wg.Wait()
}

// readHello reads the first frame of a connection and returns the name of the sender.
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

// set sets the faults of connections from a node.
func (r *peerRelay) set(t *testing.T, from string, f faultproxy.Faults) {
	t.Helper()
	p, err := r.proxy(from)
	if err == nil {
		err = p.Set(f)
	}
	if err != nil {
		t.Fatalf("set faults between nodes: %v", err)
	}
}

func (r *peerRelay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.refuse()
	for _, p := range r.proxies {
		p.Close()
	}
	r.goroutines.Wait()
}
