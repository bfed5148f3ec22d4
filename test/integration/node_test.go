package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/recorded"
	"github.com/endivehill/endivehill/test/faultproxy"
)

const (
	httpPort          = ":7000"
	relayPort         = ":7001" // advertised to the other nodes
	peerPort          = ":7002" // target of the peer relay
	shutdownTimeoutMs = 20_000
	sampleInterval    = 200 * time.Millisecond
	sampleTimeout     = 10 * time.Second
)

// blackHole drops all data in both directions.
var blackHole = faultproxy.Faults{DropRequests: true, DropAnswers: true}

// nodeState is the part of the state dump of a node that the tests use.
type nodeState struct {
	Ready         bool                 `json:"ready"`
	NotReady      string               `json:"not_ready_reason"`
	MayLead       bool                 `json:"may_lead"`
	Self          api.Member           `json:"self"`
	Members       []api.Member         `json:"members"`
	ConfigVersion int                  `json:"config_version"`
	KeyRevision   int                  `json:"key_revision"`
	Leases        []api.PartitionLease `json:"leases"`
}

// Node is one entry VM and its process.
type Node struct {
	Name          string
	FailureDomain string

	cell           *Cell
	dir            string
	store          *faultproxy.Proxy
	operatorClient recorded.Operator
	state          nodeState // last sample, guarded by mu; zero if the node did not return its state

	mu           sync.Mutex
	sampledAt    time.Duration // when the last sample was requested
	address      string        // IP address of the VM
	peerRelay    *peerRelay
	cmd          *exec.Cmd     // nil if no process runs
	exited       chan struct{} // closed when cmd has ended
	exitExpected bool          // whether the test has ended the process
	paused       bool
}

func (c *Cell) newNode(name, domain string) *Node {
	c.t.Helper()
	n := &Node{Name: name, FailureDomain: domain, cell: c, dir: c.dir}
	var err error
	if n.store, err = faultproxy.New(c.Standins.PlatformAddress); err != nil {
		c.t.Fatal(err)
	}
	n.assignVM()
	return n
}

// assignVM gives the node a VM with a new address.
func (n *Node) assignVM() {
	n.cell.t.Helper()
	n.mu.Lock()
	n.address = newAddress()
	n.peerRelay = newPeerRelay(n.cell.t, n.address+relayPort, n.address+peerPort)
	n.mu.Unlock()
	n.writeSettings()
	op := recorded.Operator{Client: n.cell.client(n.cell.operatorSecret, n), Recorder: n.cell.Recorder}
	n.mu.Lock()
	n.operatorClient = op
	n.mu.Unlock()
}

func (n *Node) writeSettings() {
	data, err := json.Marshal(map[string]any{
		"node":                   n.Name,
		"region":                 region,
		"failure_domain":         n.FailureDomain,
		"http_address":           n.HTTPAddress(),
		"peer_address":           n.address + peerPort,
		"peer_advertise_address": n.address + relayPort,
		"store_address":          n.store.Address(),
		"operator_key_sha256":    sha256Hex(n.cell.operatorSecret),
		"shutdown_timeout_ms":    shutdownTimeoutMs,
		"log_level":              "debug",
	})
	if err == nil {
		err = os.WriteFile(n.file("settings.json"), data, 0o600)
	}
	if err != nil {
		n.cell.t.Fatal(err)
	}
}

func (n *Node) file(name string) string { return filepath.Join(n.dir, n.Name+"-"+name) }

// HTTPAddress returns the address for callers.
func (n *Node) HTTPAddress() string { return n.address + httpPort }

// Start starts a process with the settings of the node.
func (n *Node) Start() {
	t := n.cell.t
	t.Helper()
	out, err := os.OpenFile(n.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	n.peerRelay.open(t)
	cmd := exec.Command(programPath, "serve", "--settings", n.file("settings.json"))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.exitExpected = cmd, exited, false
	n.mu.Unlock()
	n.cell.background.Go(func() { n.wait(cmd, exited) })
}

// wait waits until a process has ended and fails the test if the test did not end it.
func (n *Node) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.exitExpected {
		n.cell.t.Errorf("%s ended unexpectedly: %v", n.Name, err)
	}
	n.cmd, n.paused = nil, false
	n.peerRelay.refuse()
	close(exited)
}

// signal sends a signal to the process and returns a channel that is closed when the
// process has ended. ends says whether the signal is meant to end it.
func (n *Node) signal(s syscall.Signal, ends bool) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	n.exitExpected = n.exitExpected || ends
	if err := n.cmd.Process.Signal(s); err != nil {
		n.cell.t.Errorf("send %v to %s: %v", s, n.Name, err)
	}
	return n.exited
}

// Running reports whether the process runs and is not paused.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil && !n.paused
}

// Kill ends the process with SIGKILL. Its address then refuses connections. The recorded
// fault lasts until each other node has answered a state request made after the process
// had ended: until then, nodes may still send calls to it.
func (n *Node) Kill() {
	c := n.cell
	name := "kill " + n.Name
	c.beginFault(name)
	<-n.signal(syscall.SIGKILL, true)
	c.Recorder.Add(history.Record{Kind: history.NodeKilled, Node: n.Name})
	ended := c.Recorder.Now()
	c.background.Go(func() {
		c.poll(waitTimeout, func() bool { return c.ctx.Err() != nil || c.sampledSince(ended) })
		c.endFault(name)
	})
}

// sampledSince reports whether the last sample of every running node was requested no
// earlier than at.
func (c *Cell) sampledSince(at time.Duration) bool {
	for _, n := range c.runningNodes() {
		n.mu.Lock()
		requestedAt := n.sampledAt
		n.mu.Unlock()
		if requestedAt < at {
			return false
		}
	}
	return true
}

// Pause suspends the process until Resume is called.
func (n *Node) Pause() {
	n.cell.beginFault("pause " + n.Name)
	n.mu.Lock()
	n.paused = true
	n.mu.Unlock()
	n.signal(syscall.SIGSTOP, false)
}

// Resume continues a paused process.
func (n *Node) Resume() {
	n.signal(syscall.SIGCONT, false)
	n.mu.Lock()
	n.paused = false
	n.mu.Unlock()
	n.cell.endFault("pause " + n.Name)
}

// Stop stops the process gracefully with SIGTERM. It fails the test unless the process
// ends in time with exit code 0.
func (n *Node) Stop() {
	n.cell.t.Helper()
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	n.cell.logEvent("planned stop of %s", n.Name)
	n.cell.Recorder.Add(history.Record{Kind: history.NodeStopping, Node: n.Name})
	select {
	case <-n.signal(syscall.SIGTERM, true):
	case <-time.After(waitTimeout):
		n.cell.t.Errorf("%s did not stop within %v", n.Name, waitTimeout)
		n.Kill()
		return
	}
	n.cell.logEvent("%s has stopped", n.Name)
	n.cell.Recorder.Add(history.Record{Kind: history.NodeStopped, Node: n.Name})
	if cmd != nil && cmd.ProcessState.ExitCode() != 0 {
		n.cell.t.Errorf("planned stop of %s: %v", n.Name, cmd.ProcessState)
	}
}

// Replace starts the node again on a new VM with another address. The process on
// the old VM must have ended.
func (n *Node) Replace() {
	n.cell.t.Helper()
	n.peerRelay.close()
	n.assignVM()
	n.cell.listEntryVMs()
	n.Start()
}

// CutStore makes the table service, the object store and the VM list unreachable for the
// node until HealStore is called.
func (n *Node) CutStore() { n.setStoreFaults("cut store off "+n.Name, blackHole) }

// HealStore ends CutStore.
func (n *Node) HealStore() { n.setStoreFaults("cut store off "+n.Name, faultproxy.Faults{}) }

func (n *Node) setStoreFaults(name string, f faultproxy.Faults) {
	n.cell.t.Helper()
	n.cell.setNetworkFault(name, f)
	if err := n.store.Set(f); err != nil {
		n.cell.t.Fatal(err)
	}
	if f != (faultproxy.Faults{}) {
		n.store.CutConnections()
	}
}

// SetPeerFaults sets the faults of connections from another node to this one.
func (n *Node) SetPeerFaults(from *Node, f faultproxy.Faults) {
	n.cell.t.Helper()
	n.cell.setNetworkFault("cut "+from.Name+" -> "+n.Name, f)
	n.peerRelay.set(n.cell.t, from.Name, f)
}

// SetAllPeerFaults sets the faults of all connections between this node and the others,
// in both directions.
func (n *Node) SetAllPeerFaults(f faultproxy.Faults) {
	n.cell.t.Helper()
	for _, other := range n.cell.Nodes {
		if other != n {
			n.SetPeerFaults(other, f)
			other.SetPeerFaults(n, f)
		}
	}
}

// State returns the last sample of the state of the node, and whether the node returned
// one, which it does only while it serves callers.
func (n *Node) State() (nodeState, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state, n.state.Self.Node != ""
}

// sampleLoop samples the state of the node periodically until ctx ends.
func (n *Node) sampleLoop(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		n.sampleState(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) sampleState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	requestedAt := n.cell.Recorder.Now()
	var s nodeState
	data, err := n.client().State(ctx)
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	if err != nil {
		s = nodeState{}
	}
	n.mu.Lock()
	n.state, n.sampledAt = s, requestedAt
	n.mu.Unlock()
	if s.ConfigVersion > 0 {
		n.cell.Recorder.Add(history.Record{Kind: history.ConfigInForce, Node: n.Name, Version: s.ConfigVersion, Serving: s.Ready, Started: requestedAt})
	}
}

func (n *Node) client() *client.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.operatorClient.Client
}

// checkLog fails the test if the log of the node shows a panic, a fatal error or a data
// race. If the test has failed, it prints the end of the log.
func (n *Node) checkLog() {
	t := n.cell.t
	if n.exited == nil {
		return // a spare that was not started
	}
	data, err := os.ReadFile(n.file("log"))
	if err != nil {
		t.Errorf("log of %s: %v", n.Name, err)
		return
	}
	for _, mark := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if i := bytes.Index(data, []byte(mark)); i >= 0 {
			t.Errorf("%s: %s", n.Name, data[i:min(len(data), i+maxLogBytes)])
		}
	}
	if t.Failed() {
		t.Logf("end of the log of %s:\n%s", n.Name, data[max(0, len(data)-maxLogBytes):])
	}
	n.cell.keepFile(n.Name+".log", data)
}
