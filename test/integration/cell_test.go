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
	// patience bounds each wait for a condition. It is far above what the design
	// promises, so that a busy machine fails no test; the checker judges times.
	patience     = time.Minute
	pollInterval = 20 * time.Millisecond
	callTimeout  = 30 * time.Second
	maxShownLog  = 6 << 10
	usageLag     = time.Second
	listLag      = time.Second
)

// Options of a Cell. Zero values have defaults.
type Options struct {
	Nodes    int                      // 3
	Spares   int                      // further nodes, which the test starts
	Config   func(*api.Configuration) // changes the configuration before the start
	Work     func(in *api.ExecutorCall) standin.Work
	UsageLag time.Duration // of the measurements of workers; usageLag
}

// Cell is a whole cell: the stand-ins in the test process, and nodes as processes.
type Cell struct {
	Seed     uint64
	Config   api.Configuration // first version
	Recorder *history.Recorder
	Standins *standin.Cell
	Nodes    []*Node

	t          *testing.T
	dir        string // of settings and logs
	operator   string // secret of the operator key
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	finish     sync.Once
	keys       map[string]Key // first key of each team

	mu      sync.Mutex
	rng     *mathrand.Rand
	faults  []string
	clients map[string]*client.Client
	loads   []*Load
	silent  map[string]bool // VMs whose worker gets no calls
}

// Key is a key of a caller. The zero value is no key.
type Key struct{ ID, Secret, Team string }

// NewCell starts a cell and waits until it serves. Finish runs at the end of the
// test by itself.
func NewCell(t *testing.T, o Options) *Cell {
	t.Helper()
	if o.Nodes == 0 {
		o.Nodes = 3
	}
	if o.UsageLag == 0 {
		o.UsageLag = usageLag
	}
	c := &Cell{t: t, dir: t.TempDir(), Seed: *seedFlag, Config: configuration(), Recorder: history.New(), operator: "operator-" + rand.Text(),
		keys: map[string]Key{}, clients: map[string]*client.Client{}, silent: map[string]bool{}}
	if c.Seed == 0 {
		c.Seed = mathrand.Uint64()
	}
	c.rng = mathrand.New(mathrand.NewPCG(c.Seed, 0))
	if o.Config != nil {
		o.Config(&c.Config)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := processes.Acquire(c.ctx, int64(o.Nodes)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { processes.Release(int64(o.Nodes)) })
	var err error
	c.Standins, err = standin.NewCell(&c.Config, standin.CellOptions{Recorder: c.Recorder, Seed: c.Seed, UsageLag: o.UsageLag, ListLag: listLag, Work: o.Work})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Finish)
	for i := range o.Nodes + o.Spares {
		c.Nodes = append(c.Nodes, c.newNode(fmt.Sprintf("node-%d", i+1), domains[i%len(domains)]))
	}
	c.listEntryVMs()
	for i, n := range c.Nodes {
		if i < o.Nodes {
			n.Start()
		}
		c.background.Go(func() { n.sample(c.ctx) })
	}
	c.prepare()
	return c
}

// prepare applies the configuration, grants a key to each team and waits until
// every partition has an owner.
func (c *Cell) prepare() {
	c.t.Helper()
	c.Apply(0, c.Config)
	for _, team := range c.Config.Teams {
		c.keys[team.Name] = c.Grant(team.Name)
	}
	c.AwaitServing()
}

// Finish stops everything and judges the history. It runs once.
func (c *Cell) Finish() { c.finish.Do(c.finishOnce) }

func (c *Cell) finishOnce() {
	c.t.Helper()
	for _, l := range c.loads {
		l.Stop()
	}
	c.cancel()
	for _, n := range c.Nodes {
		<-n.signal(syscall.SIGKILL, true)
		n.gate.close()
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
	c.t.Logf("seed %d; faults:\n%s", c.Seed, strings.Join(c.faults, "\n"))
	var b bytes.Buffer
	_ = history.Write(&b, records) // a buffer takes all
	c.keep("history.jsonl", b.Bytes())
}

// keep writes a file to the directory of the flag.
func (c *Cell) keep(name string, data []byte) {
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

// note adds a line to the list of faults that a failed test prints.
func (c *Cell) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf("%8.3fs ", c.Recorder.Now().Seconds())+fmt.Sprintf(format, args...))
}

// fault records a fault that has no duration.
func (c *Cell) fault(format string, args ...any) {
	name := fmt.Sprintf(format, args...)
	c.begin(name)
	c.end(name)
}

// begin records the begin of a fault that may interrupt requests.
func (c *Cell) begin(name string) {
	c.note("begin: %s", name)
	c.Recorder.Add(history.Record{Kind: history.FaultBegin, Reason: name})
}

func (c *Cell) end(name string) {
	c.note("end: %s", name)
	c.Recorder.Add(history.Record{Kind: history.FaultEnd, Reason: name})
}

// toggle records a fault of the network, whose zero value ends it.
func (c *Cell) toggle(name string, f faultproxy.Faults) {
	if f == (faultproxy.Faults{}) {
		c.end(name)
		return
	}
	c.begin(name)
}

// TableFaults changes the faults of the table service, until HealTable.
func (c *Cell) TableFaults(name string, f standin.Faults) {
	c.begin("table " + name)
	c.Standins.Table.SetFaults(f)
}

// HealTable ends the faults of TableFaults of that name.
func (c *Cell) HealTable(name string) {
	c.Standins.Table.SetFaults(standin.Faults{})
	c.end("table " + name)
}

// Until waits for a condition and fails the test if it does not come.
func (c *Cell) Until(what string, condition func() bool) {
	c.t.Helper()
	if !c.poll(patience, condition) {
		c.t.Fatalf("did not happen within %v: %s", patience, what)
	}
}

// poll reports whether a condition came true in time.
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
		for _, n := range c.running() {
			if s, ok := n.State(); !ok || !s.Ready {
				return false
			}
		}
		return len(c.owners()) == want
	})
}

// owners returns the running node with the highest epoch of each partition.
func (c *Cell) owners() map[string]*Node {
	out := map[string]*Node{}
	epochs := map[string]int{}
	for _, n := range c.running() {
		s, _ := n.State()
		for _, l := range s.Leases {
			if l.Epoch > epochs[l.Partition] {
				out[l.Partition], epochs[l.Partition] = n, l.Epoch
			}
		}
	}
	return out
}

// Owner waits for the node that owns a partition and returns it.
func (c *Cell) Owner(partition string) *Node {
	c.t.Helper()
	var owner *Node
	c.Until("an owner of "+partition, func() bool {
		owner = c.owners()[partition]
		return owner != nil
	})
	return owner
}

// Others returns the nodes but one.
func (c *Cell) Others(not *Node) []*Node {
	var out []*Node
	for _, n := range c.Nodes {
		if n != not {
			out = append(out, n)
		}
	}
	return out
}

// running returns the nodes that run.
func (c *Cell) running() []*Node {
	var out []*Node
	for _, n := range c.Nodes {
		if n.Running() {
			out = append(out, n)
		}
	}
	return out
}

// pick returns a number below n from the seed.
func (c *Cell) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// listEntryVMs makes the platform list the VMs of the nodes.
func (c *Cell) listEntryVMs() {
	var out []string
	for _, n := range c.Nodes {
		out = append(out, n.address)
	}
	c.Standins.VMs.SetEntryVMs(out)
}

// client returns a client of one node with a key.
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

// Caller returns a caller with a key that calls one node.
func (c *Cell) Caller(k Key, n *Node) recorded.Caller {
	return recorded.Caller{Client: c.client(k.Secret, n), Recorder: c.Recorder, Key: k.ID, Node: n.Name}
}

// Change repeats an operator's call through the running nodes until it is
// accepted. Calls are idempotent.
func (c *Cell) Change(what string, call func(recorded.Operator) error) {
	c.t.Helper()
	try := 0
	var err error
	if !c.poll(patience, func() bool {
		nodes := c.running()
		try++
		err = call(nodes[try%len(nodes)].op)
		return err == nil
	}) {
		c.t.Fatalf("%s: %v", what, err)
	}
}

// Apply applies a configuration over a version and returns the new version.
func (c *Cell) Apply(base int, document api.Configuration) int {
	c.t.Helper()
	var applied api.Applied
	c.Change("apply", func(op recorded.Operator) (err error) {
		applied, err = op.Apply(c.ctx, api.ConfigApply{BaseVersion: base, Document: document})
		return err
	})
	return applied.Version
}

// Grant grants a key to a team.
func (c *Cell) Grant(team string) Key {
	c.t.Helper()
	var key Key
	c.Change("grant", func(op recorded.Operator) error {
		granted, err := op.Grant(c.ctx, api.KeyGrant{Team: team, Role: api.RoleCaller})
		key = Key{granted.Key.Id, granted.Secret, team}
		return err
	})
	return key
}

// Withdraw withdraws a key.
func (c *Cell) Withdraw(k Key) {
	c.t.Helper()
	c.Change("withdraw", func(op recorded.Operator) error {
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

var addresses atomic.Uint32

// newAddress returns a loopback address of its own for a VM, so that nodes of
// several cells and runs can listen on the same ports and a port is never taken
// by something else between two runs of a node.
func newAddress() string {
	pid := os.Getpid()
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, (pid/250+int(n/250))%250, 1+n%250)
}
