package integration

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/recorded"
	"github.com/endivehill/endivehill/internal/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

const (
	// waitTimeout limits each wait for a condition. It is far above the times that the
	// design promises, so that no test fails because the machine is busy; the checker
	// verifies the promised times.
	waitTimeout     = time.Minute
	pollInterval    = 20 * time.Millisecond
	callTimeout     = 30 * time.Second
	maxLogBytes     = 6 << 10
	defaultUsageLag = time.Second
	vmListLag       = time.Second
)

// Options configures a Cell. Zero values select the defaults.
type Options struct {
	Nodes    int                                                // number of nodes; by default 3
	Spares   int                                                // additional nodes that are not started with the cell
	Config   func(*api.Configuration)                           // modifies the initial configuration
	Execute  func(in *api.ExecutorCall) standin.ExecutionResult // result of a request; by default as its body says
	UsageLag time.Duration                                      // age of the usage that workers report; by default 1 s
}

// Cell is a complete cell: stand-ins of the platform in the test process, and nodes as
// processes of their own.
type Cell struct {
	Seed     uint64
	Config   api.Configuration // initial configuration
	Recorder *history.Recorder
	Standins *standin.Cell
	Nodes    []*Node

	t              *testing.T
	started        time.Time
	dir            string // of settings and logs
	operatorSecret string // of the operator key
	ctx            context.Context
	cancel         context.CancelFunc
	background     sync.WaitGroup
	finishOnce     sync.Once
	keys           map[string]Key // first key of each team

	mu                 sync.Mutex
	rng                *mathrand.Rand
	eventLog           []string
	clients            map[string]*client.Client
	loads              []*RequestLoad
	unreachableWorkers map[string]bool // IDs of VMs whose worker receives no calls
}

// Key is a key of a caller. The zero value means that no key is sent.
type Key struct{ ID, Secret, Team string }

// NewCell starts a cell and waits until it serves. Finish is registered as a cleanup of
// the test.
func NewCell(t *testing.T, o Options) *Cell {
	t.Helper()
	if o.Nodes == 0 {
		o.Nodes = 3
	}
	if o.UsageLag == 0 {
		o.UsageLag = defaultUsageLag
	}
	c := &Cell{t: t, dir: t.TempDir(), Seed: *seedFlag, Config: configuration(), Recorder: history.NewRecorder(), operatorSecret: "operator-" + rand.Text(),
		keys: map[string]Key{}, clients: map[string]*client.Client{}, unreachableWorkers: map[string]bool{}}
	if c.Seed == 0 {
		c.Seed = mathrand.Uint64()
	}
	c.rng = mathrand.New(mathrand.NewPCG(c.Seed, 0))
	if o.Config != nil {
		o.Config(&c.Config)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := nodeSemaphore.Acquire(c.ctx, int64(o.Nodes)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nodeSemaphore.Release(int64(o.Nodes)) })
	c.started = time.Now()
	var err error
	c.Standins, err = standin.NewCell(&c.Config, standin.CellOptions{Recorder: c.Recorder, Seed: c.Seed, UsageLag: o.UsageLag, ListLag: vmListLag, Execute: o.Execute})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Finish)
	for i := range o.Nodes + o.Spares {
		c.Nodes = append(c.Nodes, c.newNode(fmt.Sprintf("node-%d", i+1), failureDomains[i%len(failureDomains)]))
	}
	c.listEntryVMs()
	for i, n := range c.Nodes {
		if i < o.Nodes {
			n.Start()
		}
		c.background.Go(func() { n.sampleLoop(c.ctx) })
	}
	c.setUp()
	return c
}

// setUp applies the configuration, grants a key to each team and waits until
// every partition has an owner.
func (c *Cell) setUp() {
	c.t.Helper()
	c.Apply(0, c.Config)
	for _, team := range c.Config.Teams {
		c.keys[team.Name] = c.Grant(team.Name)
	}
	c.AwaitServing()
}

// Finish stops the cell and checks the history and the logs. Only the first call has an
// effect.
func (c *Cell) Finish() { c.finishOnce.Do(c.stopAndCheck) }

func (c *Cell) stopAndCheck() {
	c.t.Helper()
	for _, l := range c.loads {
		l.Stop()
	}
	c.cancel()
	for _, n := range c.Nodes {
		<-n.signal(syscall.SIGKILL, true)
		n.peerRelay.close()
		n.store.Close()
	}
	c.background.Wait()
	c.Standins.Close()
	for _, cl := range c.clients {
		cl.Close()
	}
	records := c.Recorder.Records()
	for _, v := range checker.Check(records, checker.DefaultOptions()) {
		c.t.Errorf("%s", v)
	}
	for _, n := range c.Nodes {
		n.checkLog()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("seed %d; ran for %v; faults:\n%s", c.Seed, time.Since(c.started).Round(time.Second), strings.Join(c.eventLog, "\n"))
	var b bytes.Buffer
	_ = history.Write(&b, records) // writing to a buffer does not fail
	c.keepFile("history.jsonl", b.Bytes())
}

// keepFile writes a file to the directory given by -keep, if any.
func (c *Cell) keepFile(name string, data []byte) {
	if *keepFlag == "" {
		return
	}
	dir := filepath.Join(*keepFlag, strings.ReplaceAll(c.t.Name(), "/", "-"))
	err := os.MkdirAll(dir, 0o755)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, name), data, 0o600)
	}
	if err != nil {
		c.t.Logf("keep %s: %v", name, err)
	}
}

// logEvent adds a line to the list of faults and other events that is printed at the end
// of the test.
func (c *Cell) logEvent(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventLog = append(c.eventLog, fmt.Sprintf("%8.3fs ", c.Recorder.Now().Seconds())+fmt.Sprintf(format, args...))
}

// instantFault records a fault without duration.
func (c *Cell) instantFault(format string, args ...any) {
	name := fmt.Sprintf(format, args...)
	c.beginFault(name)
	c.endFault(name)
}

// beginFault records the start of a fault that may interrupt requests.
func (c *Cell) beginFault(name string) {
	c.logEvent("begin: %s", name)
	c.Recorder.Add(history.Record{Kind: history.FaultBegin, Reason: name})
}

func (c *Cell) endFault(name string) {
	c.logEvent("end: %s", name)
	c.Recorder.Add(history.Record{Kind: history.FaultEnd, Reason: name})
}

// setNetworkFault records the start of a network fault, or its end if f is zero.
func (c *Cell) setNetworkFault(name string, f faultproxy.Faults) {
	if f == (faultproxy.Faults{}) {
		c.endFault(name)
		return
	}
	c.beginFault(name)
}

// TableFaults injects faults into the table service until HealTable is called.
func (c *Cell) TableFaults(name string, f standin.Faults) {
	c.beginFault("table " + name)
	c.Standins.Table.SetFaults(f)
}

// HealTable removes the faults that TableFaults injected under the same name.
func (c *Cell) HealTable(name string) {
	c.Standins.Table.SetFaults(standin.Faults{})
	c.endFault("table " + name)
}

// Until waits until a condition holds and fails the test if it does not hold in time.
func (c *Cell) Until(what string, condition func() bool) {
	c.t.Helper()
	if !c.poll(waitTimeout, condition) {
		c.t.Fatalf("condition not met within %v: %s", waitTimeout, what)
	}
}

// poll waits until a condition holds and reports whether it did within the given time.
func (c *Cell) poll(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); ; time.Sleep(pollInterval) {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// AwaitServing waits until all running nodes serve and every partition has an
// owner among them.
func (c *Cell) AwaitServing() {
	c.t.Helper()
	want := len(config.Partitions(c.Config))
	c.Until("every node serves and every partition has an owner", func() bool {
		for _, n := range c.runningNodes() {
			if s, ok := n.State(); !ok || !s.Ready {
				return false
			}
		}
		return len(c.owners()) == want
	})
}

// owners returns for each partition the running node that holds the lease with the
// highest epoch.
func (c *Cell) owners() map[string]*Node {
	out := map[string]*Node{}
	epochs := map[string]int{}
	for _, n := range c.runningNodes() {
		s, _ := n.State()
		for _, l := range s.Leases {
			if l.Epoch > epochs[l.Partition] {
				out[l.Partition], epochs[l.Partition] = n, l.Epoch
			}
		}
	}
	return out
}

// Owner waits until a partition has an owner and returns that node.
func (c *Cell) Owner(partition string) *Node {
	c.t.Helper()
	var owner *Node
	c.Until("a running node owns "+partition, func() bool {
		owner = c.owners()[partition]
		return owner != nil
	})
	return owner
}

// Others returns all nodes except one.
func (c *Cell) Others(excluded *Node) []*Node {
	var out []*Node
	for _, n := range c.Nodes {
		if n != excluded {
			out = append(out, n)
		}
	}
	return out
}

// runningNodes returns the nodes whose process runs and is not paused.
func (c *Cell) runningNodes() []*Node {
	var out []*Node
	for _, n := range c.Nodes {
		if n.Running() {
			out = append(out, n)
		}
	}
	return out
}

// randomInt returns a seeded random number below n.
func (c *Cell) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// listEntryVMs sets the entry VMs in the VM list to those of the nodes.
func (c *Cell) listEntryVMs() {
	var out []string
	for _, n := range c.Nodes {
		out = append(out, n.address)
	}
	c.Standins.VMs.SetEntryVMs(out)
}

// client returns a client that calls one node with a key.
func (c *Cell) client(secret string, n *Node) *client.Client {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	id := secret + "@" + n.HTTPAddress()
	if cl, ok := c.clients[id]; ok {
		return cl
	}
	cl, err := client.New(client.Options{Addresses: []string{n.HTTPAddress()}, Key: secret, Timeout: callTimeout})
	if err != nil {
		c.t.Fatal(err)
	}
	c.clients[id] = cl
	return cl
}

// Caller returns a recorded caller that calls one node with a key.
func (c *Cell) Caller(k Key, n *Node) recorded.Caller {
	return recorded.Caller{Client: c.client(k.Secret, n), Recorder: c.Recorder, Key: k.ID, Node: n.Name}
}

// RetryOperatorCall repeats a call of an operator through the running nodes until it is
// accepted. The call must be idempotent.
func (c *Cell) RetryOperatorCall(what string, call func(recorded.Operator) error) {
	c.t.Helper()
	try := 0
	var err error
	if !c.poll(waitTimeout, func() bool {
		nodes := c.runningNodes()
		try++
		err = call(nodes[try%len(nodes)].operatorClient)
		return err == nil
	}) {
		c.t.Fatalf("operator call %s did not succeed: %v", what, err)
	}
}

// Apply applies a configuration based on a version and returns the new version.
func (c *Cell) Apply(base int, document api.Configuration) int {
	c.t.Helper()
	var applied api.Applied
	c.RetryOperatorCall("apply", func(op recorded.Operator) (err error) {
		applied, err = op.Apply(c.ctx, api.ConfigApply{BaseVersion: base, Document: document})
		return err
	})
	return applied.Version
}

// Grant grants a key to a team.
func (c *Cell) Grant(team string) Key {
	c.t.Helper()
	var key Key
	c.RetryOperatorCall("grant", func(op recorded.Operator) error {
		granted, err := op.Grant(c.ctx, api.KeyGrant{Team: team, Role: api.RoleCaller})
		key = Key{granted.Key.Id, granted.Secret, team}
		return err
	})
	return key
}

// Withdraw withdraws a key.
func (c *Cell) Withdraw(k Key) {
	c.t.Helper()
	c.RetryOperatorCall("withdraw", func(op recorded.Operator) error {
		_, err := op.Withdraw(c.ctx, k.ID)
		return err
	})
}

// kindOf returns the kind of an error, "" for nil.
func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.From(err).Kind
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

var addressCount atomic.Uint32

// newAddress returns an unused loopback IP address for a VM, so that nodes of several
// cells and test runs can listen on the same ports, and no other process takes a port
// between two starts of a node.
func newAddress() string {
	pid := os.Getpid()
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, (pid/250+int(n/250))%250, 1+n%250)
}
