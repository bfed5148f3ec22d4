package cellnode

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/platform"
)

// narrowListener returns connections that write a limited number of bytes a second.
type narrowListener struct {
	net.Listener
	bytesPerSecond float64
}

func (l narrowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return narrowConn{c, l.bytesPerSecond}, err
}

type narrowConn struct {
	net.Conn
	bytesPerSecond float64
}

func (c narrowConn) Write(p []byte) (int, error) {
	const chunkBytes = 8 << 10
	written := 0
	for len(p) > 0 {
		n, err := c.Conn.Write(p[:min(len(p), chunkBytes)])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
		time.Sleep(time.Duration(float64(n) / c.bytesPerSecond * float64(time.Second)))
	}
	return written, nil
}

func newIdleNode(name string) *Node {
	return New(Options{Settings: settings.Cell{Node: name, MemoryMB: 4096}, Logger: log.NewNopLogger(), Clock: clock.System{}})
}

// Guards against a node without the table service that never gets a large configuration from the
// owner, because each try is ended before it is complete.
func TestLargeConfigurationIsFetchedOverANarrowLink(t *testing.T) {
	const version, limit = 7, 10 * time.Second
	padding := bytes.Repeat([]byte("x"), 700<<10)
	document := fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"tenants":[],"padding":"%s"}`, version, padding)
	owner, node := newIdleNode("owner"), newIdleNode("node")
	owner.installRows(platform.OperatorRows(document))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = owner.peerServer.Serve(narrowListener{l, 500 << 10}) }()
	defer func() {
		node.peerClient.Close()
		_ = owner.peerServer.Shutdown(t.Context())
	}()
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		node.observeOwnerConfig(l.Addr().String(), version, 0)
		if got, _ := node.admission.Version(); got == version {
			return
		}
	}
	t.Errorf("the node does not have the configuration after %v", limit)
}

// Guards against parts of different documents that are joined, and against a transfer that begins
// anew after each interruption.
func TestConfigTransfer(t *testing.T) {
	first := &api.ConfigDocument{Version: 1, Document: bytes.Repeat([]byte("a"), 2*configPartBytes+10)}
	second := &api.ConfigDocument{Version: 2, Document: bytes.Repeat([]byte("b"), configPartBytes+10)}
	var transfer configTransfer
	add := func(from *api.ConfigDocument, complete bool) {
		t.Helper()
		got, err := transfer.add(configPart(from, transfer.call()))
		if err != nil || got != complete {
			t.Fatalf("complete %v, %v", got, err)
		}
	}
	add(first, false)
	add(first, false)
	add(second, false) // another version is in force: it begins anew
	add(second, true)
	if !bytes.Equal(transfer.received, second.Document) {
		t.Errorf("received %d bytes", len(transfer.received))
	}
	transfer = configTransfer{}
	add(first, false)
	if complete, err := transfer.add(first); err != nil || !complete || !bytes.Equal(transfer.received, first.Document) {
		t.Errorf("whole document of an earlier release: complete %v, %v", complete, err)
	}
	if whole := configPart(first, &api.ConfigDocumentCall{}); whole != first {
		t.Error("a node of an earlier release gets a part")
	}
}

// Guards against a malformed part that is joined, or that ends all later transfers.
func TestMalformedConfigPartIsRejected(t *testing.T) {
	document := &api.ConfigDocument{Version: 1, Document: bytes.Repeat([]byte("a"), 2*configPartBytes)}
	for name, part := range map[string]*api.ConfigDocument{
		"gap":           {Version: 1, Offset: configPartBytes + 1, TotalBytes: 2 * configPartBytes, Document: []byte("a")},
		"other length":  {Version: 1, Offset: configPartBytes, TotalBytes: 3 * configPartBytes, Document: []byte("a")},
		"other version": {Version: 2, Offset: configPartBytes, TotalBytes: 2 * configPartBytes, Document: []byte("a")},
		"empty":         {Version: 1, Offset: configPartBytes, TotalBytes: 2 * configPartBytes},
		"too long":      {Version: 1, Offset: configPartBytes, TotalBytes: 2 * configPartBytes, Document: make([]byte, configPartBytes+1)},
		"too large":     {Version: 1, TotalBytes: maxConfigBytes + 1, Document: []byte("a")},
	} {
		var transfer configTransfer
		if _, err := transfer.add(configPart(document, transfer.call())); err != nil {
			t.Fatal(err)
		}
		if _, err := transfer.add(part); err == nil {
			t.Errorf("%s: no error", name)
		}
		complete := false
		for range 2 {
			var err error
			if complete, err = transfer.add(configPart(document, transfer.call())); err != nil {
				t.Fatal(name, err)
			}
		}
		if !complete {
			t.Errorf("%s: the next transfer is not complete", name)
		}
	}
}
