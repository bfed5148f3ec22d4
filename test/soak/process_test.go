package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/platform"
	"github.com/endivehill/endivehill/test/faultproxy"
	"github.com/endivehill/endivehill/test/loopback"
)

// Times of a node, as its settings have them.
const (
	graceTime  = 4 * time.Second
	revokeTime = 5 * time.Second
)

// node is one node of the cell: a real process, with a proxy on each of its links.
type node struct {
	soak     *soak
	name     string
	settings api.CellSettings
	file     string

	store, adviser, peer *faultproxy.Proxy // links to the store and the adviser, and of the other nodes to this one

	mu      sync.Mutex
	process *os.Process
	life    int // counts the processes
	ended   chan struct{}
	meant   bool // the soak has ended the process, or told it to end
}

// newNode prepares a node and its proxies.
func newNode(t testing.TB, s *soak, number int) *node {
	n := &node{soak: s, name: fmt.Sprintf("node-%d", number)}
	listener := loopback.FreeAddress(t)
	n.store, n.adviser, n.peer = s.proxy(s.world.StoreAddress), s.proxy(s.world.AdviserAddress), s.proxy(listener)
	level := api.LogLevelInfo
	n.settings = api.CellSettings{
		Node: n.name, FailureDomain: fmt.Sprintf("zone-%d", number%3),
		HttpAddress: loopback.FreeAddress(t), ReadyAddress: loopback.FreeAddress(t),
		PeerAddress: listener, PeerAdvertiseAddress: n.peer.Address(), MetricsAddress: loopback.FreeAddress(t),
		StoreAddress: n.store.Address(), AdviserAddress: n.adviser.Address(), LogLevel: &level,
		CpuShare: "1", MemoryMb: "512", DrainTime: "2s", GraceTime: graceTime.String(), RevokeTime: revokeTime.String(),
		MaxTaskLease: "6s", StopTimeout: "200ms", GangTimeout: "3s", HarmTime: "4s", NoticeTime: "4500ms",
		StatusRetention: "120s", RestoreTime: "600ms", RemoteFactor: "1.5",
	}
	n.file = filepath.Join(s.dir, n.name+".json")
	data, err := json.Marshal(&n.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return n
}

// start starts the process if it does not run.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return
	}
	n.life++
	log, err := os.Create(filepath.Join(n.soak.dir, fmt.Sprintf("%s-%d.log", n.name, n.life)))
	if err != nil {
		n.soak.violation("log of %s: %v", n.name, err)
		return
	}
	cmd := exec.Command(program, "cell", "--settings", n.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		n.soak.violation("start of %s: %v", n.name, err)
		return
	}
	ended := make(chan struct{})
	n.process, n.ended, n.meant = cmd.Process, ended, false
	n.soak.background.Go(func() {
		err := cmd.Wait()
		_ = log.Close() // the process has written all
		n.noteEnd(err, log.Name(), ended)
	})
}

// noteEnd checks how a process has ended.
func (n *node) noteEnd(err error, log string, ended chan struct{}) {
	n.mu.Lock()
	meant, life := n.meant, n.life
	n.process = nil
	n.mu.Unlock()
	close(ended)
	if !meant {
		n.soak.violation("%s, life %d, ended by itself: %v", n.name, life, err)
	}
	text, readErr := os.ReadFile(log)
	if readErr != nil || strings.Contains(string(text), "panic:") || strings.Contains(string(text), "DATA RACE") {
		n.soak.violation("%s, life %d: panic or data race, see %s (%v)", n.name, life, log, readErr)
	}
}

// signal sends a signal to the process if it runs, and returns a channel that is
// closed when it has ended.
func (n *node) signal(s syscall.Signal, ends bool) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return closed
	}
	n.meant = n.meant || ends
	if err := n.process.Signal(s); err != nil && err != os.ErrProcessDone {
		n.soak.violation("signal %v to %s: %v", s, n.name, err)
	}
	return n.ended
}

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// kill ends the process at once.
func (n *node) kill() { <-n.signal(syscall.SIGKILL, true) }

// terminate stops the process as the platform does.
func (n *node) terminate() {
	ended := n.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(graceTime):
		n.kill()
	}
}

// get returns what the node serves at an address, empty if it does not answer.
func (n *node) get(address, path string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, ""
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// ready reports whether the node answers the balancer that it is ready.
func (n *node) ready() bool {
	status, _ := n.get(n.settings.ReadyAddress, platform.PathReady)
	return status == http.StatusOK
}

// owns reports whether the node owns the cell.
func (n *node) owns() bool {
	_, text := n.get(n.settings.MetricsAddress, "/metrics")
	return strings.Contains(text, "\nendivehill_cell_owner 1")
}
