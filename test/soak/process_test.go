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

// Times that are set in the settings of each node.
const (
	graceTime    = 4 * time.Second
	revokeTime   = 5 * time.Second
	evacuateTime = 5 * time.Second // if the soak requests evacuations
)

// node is one node of the cell: a process with a fault proxy on each of its links.
type node struct {
	soak         *soak
	name         string
	settings     api.CellSettings
	settingsFile string
	ports        []*loopback.Port // that the process listens on; shared only while it runs

	store, adviser, peer *faultproxy.Proxy // links to the store and the adviser, and from the other nodes

	mu          sync.Mutex
	process     *os.Process
	starts      int // number of processes started, which is the number of the current process
	ended       chan struct{}
	endExpected bool // the test has killed or terminated the process
}

// newNode creates the proxies and the settings file of a node.
func newNode(t testing.TB, s *soak, number int) *node {
	n := &node{soak: s, name: fmt.Sprintf("node-%d", number)}
	peerAddress := n.newAddress(t)
	adviserAddress, err := s.platform.NewAdviserAddress()
	if err != nil {
		t.Fatal(err)
	}
	n.store, n.adviser, n.peer = s.startProxy(s.platform.StoreAddress), s.startProxy(adviserAddress), s.startProxy(peerAddress)
	level := api.LogLevelInfo
	n.settings = api.CellSettings{
		Node: n.name, FailureDomain: fmt.Sprintf("zone-%d", number%3),
		HttpAddress: n.newAddress(t), ReadyAddress: n.newAddress(t),
		PeerAddress: peerAddress, PeerAdvertiseAddress: n.peer.Address(), MetricsAddress: n.newAddress(t),
		StoreAddress: n.store.Address(), AdviserAddress: n.adviser.Address(), LogLevel: &level,
		CpuShare: "1", MemoryMb: "512", DrainTime: "2s", GraceTime: graceTime.String(), RevokeTime: revokeTime.String(),
		MaxTaskLease: "6s", StopTimeout: "200ms", GangTimeout: "3s", HarmTime: "4s", NoticeTime: "4500ms",
		StatusRetention: "120s", RestoreTime: "600ms", RemoteFactor: "1.5",
	}
	if s.evacuates {
		n.settings.EvacuateTime = evacuateTime.String()
	}
	if s.heartbeatInterval > 0 {
		n.settings.HeartbeatInterval = s.heartbeatInterval.String()
	}
	n.settingsFile = filepath.Join(s.dir, n.name+".json")
	data, err := json.Marshal(&n.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.settingsFile, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return n
}

// newAddress reserves a port for the process and returns its address.
func (n *node) newAddress(t testing.TB) string {
	p := loopback.NewPort(t)
	n.ports = append(n.ports, p)
	return p.Address()
}

// sharePorts sets whether a process can listen on the ports of the node.
func (n *node) sharePorts(shared bool) {
	for _, p := range n.ports {
		if err := p.SetShared(shared); err != nil {
			n.soak.addViolation("share the ports of %s: %v", n.name, err)
		}
	}
}

// start starts the process unless it is running.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return
	}
	n.starts++
	log, err := os.Create(filepath.Join(n.soak.dir, fmt.Sprintf("%s-%d.log", n.name, n.starts)))
	if err != nil {
		n.soak.addViolation("create the log of %s: %v", n.name, err)
		return
	}
	cmd := exec.Command(programPath, "cell", "--settings", n.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	n.sharePorts(true)
	if err := cmd.Start(); err != nil {
		n.sharePorts(false)
		n.soak.addViolation("start %s: %v", n.name, err)
		return
	}
	ended := make(chan struct{})
	n.process, n.ended, n.endExpected = cmd.Process, ended, false
	n.soak.processes.Go(func() {
		err := cmd.Wait()
		_ = log.Close() // the process has ended, so nothing more is written
		n.checkExit(err, log.Name(), ended)
	})
}

// checkExit checks that a process that has ended was stopped by the test, and that it
// neither panicked nor had a data race.
func (n *node) checkExit(err error, log string, ended chan struct{}) {
	n.mu.Lock()
	expected, number := n.endExpected, n.starts
	n.process = nil
	n.sharePorts(false)
	n.mu.Unlock()
	close(ended)
	if !expected {
		n.soak.addViolation("%s, process %d, ended unexpectedly: %v", n.name, number, err)
	}
	text, readErr := os.ReadFile(log)
	if readErr != nil || strings.Contains(string(text), "panic:") || strings.Contains(string(text), "DATA RACE") {
		n.soak.addViolation("%s, process %d: panic or data race, see %s (read error: %v)", n.name, number, log, readErr)
	}
}

// signal sends a signal to the process if it is running, and returns a channel that is
// closed when the process has ended. ends says whether the signal ends the process.
func (n *node) signal(s syscall.Signal, ends bool) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return closedChannel
	}
	n.endExpected = n.endExpected || ends
	if err := n.process.Signal(s); err != nil && err != os.ErrProcessDone {
		n.soak.addViolation("send %v to %s: %v", s, n.name, err)
	}
	return n.ended
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// kill ends the process with SIGKILL.
func (n *node) kill() { <-n.signal(syscall.SIGKILL, true) }

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the
// grace time.
func (n *node) terminate() {
	ended := n.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(graceTime):
		n.kill()
	}
}

// get returns status and body of a GET request, or zero values if it fails.
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

// ready reports whether the readiness probe of the node succeeds.
func (n *node) ready() bool {
	status, _ := n.get(n.settings.ReadyAddress, platform.PathReady)
	return status == http.StatusOK
}

// ownsCell reports whether the metrics of the node say that it owns the cell.
func (n *node) ownsCell() bool {
	_, text := n.get(n.settings.MetricsAddress, "/metrics")
	return strings.Contains(text, "\nendivehill_cell_owner 1")
}
