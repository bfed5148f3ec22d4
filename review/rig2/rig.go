// Package rig2 runs the cases of the second review: it starts nodes as processes, with the
// stand-ins of the platform and executors of its own, and writes a record of what was seen.
// The names of the wire come from names.json.
package rig2

import (
	"bytes"
	"context"
	_ "embed" // for names.json
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/platform"
	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}()

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Limits of the figures that the rig gives to nodes, as in DEPLOY.md.
const (
	Heartbeat = 1500 * time.Millisecond
	MaxHold   = 6 * time.Second
)

// Case is one run of a case.
type Case struct {
	Trouble  bool // whether the disruption is played
	Platform *standin.Platform
	Nodes    []*Node

	root   string
	temp   string
	began  time.Time
	mu     sync.Mutex
	record *os.File
	broken []string
	ports  int

	storeDelay atomic.Int64
}

// SlowStore makes each answer of the store take that much longer, for all.
func (c *Case) SlowStore(d time.Duration) {
	c.storeDelay.Store(int64(d))
	c.Platform.Store.Faults.SetDelay(d)
	c.Note("an answer of the store takes %v longer", d)
}

// Run runs a case and exits with its result. The first argument is the folder of the case.
func Run(f func(c *Case) error) {
	c, err := newCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	c.endOnSignal()
	err = f(c)
	c.killNodes()
	if c.Platform != nil {
		c.Platform.Stop()
	}
	code := exitHeld
	switch {
	case err != nil:
		c.Note("the case could not run: %v", err)
		code = exitNotRun
	case len(c.broken) > 0:
		c.Note("result: the rule was broken %d times", len(c.broken))
		code = exitBroken
	default:
		c.Note("result: the rule held")
	}
	_ = c.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.temp)
	}
	os.Exit(code)
}

// endOnSignal ends the nodes and the case if the case is told to stop.
func (c *Case) endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		c.killNodes()
		os.Exit(exitNotRun)
	}()
}

func (c *Case) killNodes() {
	for _, n := range c.Nodes {
		n.Kill()
	}
}

func newCase() (*Case, error) {
	if len(os.Args) < 2 {
		return nil, fmt.Errorf("usage: %s FOLDER", os.Args[0])
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "endivehill-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Case{Trouble: os.Getenv("TROUBLE") != "0", root: root, temp: temp, record: record, began: time.Now()}, nil
}

// Now returns the time since the start of the case.
func (c *Case) Now() time.Duration { return time.Since(c.began) }

// Note writes a line to the record.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(c.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(c.record, line)
	if os.Getenv("SHOW") != "" {
		fmt.Println(line)
	}
}

// Broken notes that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("BROKEN: %s", text)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
}

// BrokenSoFar returns how often the rule was broken.
func (c *Case) BrokenSoFar() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.broken)
}

// freeAddress returns a loopback address on which no process listens.
func (c *Case) freeAddress() (string, error) {
	for range 1000 {
		c.ports++
		address := fmt.Sprintf("127.0.0.1:%d", 10000+(os.Getpid()*97+c.ports)%20000)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

// Node is a node process.
type Node struct {
	HTTP, Ready, Metrics string
	Store                *faultproxy.Proxy // the link to the store
	c                    *Case
	name                 string
	file                 string
	mu                   sync.Mutex
	process              *os.Process
	ended                chan struct{}
	starts               int
}

// StartNodes starts nodes with the settings of a small deployment.
func (c *Case) StartNodes(count int) error {
	for i := range count {
		n, err := c.newNode(i)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
		if err := n.Start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(10 * time.Second)
	for _, n := range c.Nodes {
		for !n.IsReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	c.Note("%d nodes are ready", count)
	return nil
}

func (c *Case) newNode(number int) (*Node, error) {
	n := &Node{c: c, name: fmt.Sprintf("node-%d", number)}
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = c.freeAddress(); err != nil {
			return nil, err
		}
	}
	adviser, err := c.Platform.NewAdviserAddress()
	if err != nil {
		return nil, err
	}
	if n.Store, err = faultproxy.New(c.Platform.StoreAddress); err != nil {
		return nil, err
	}
	n.HTTP, n.Ready, n.Metrics = addresses[0], addresses[1], addresses[3]
	s := api.CellSettings{
		Node: n.name, FailureDomain: fmt.Sprintf("zone-%d", number%3), HttpAddress: n.HTTP, ReadyAddress: n.Ready,
		PeerAddress: addresses[2], MetricsAddress: n.Metrics, StoreAddress: n.Store.Address(), AdviserAddress: adviser,
		CpuShare: "0.4", MemoryMb: "284", MaxOpenFiles: "4100", DrainTime: "2000ms", GraceTime: "6s", RevokeTime: "5000ms",
		HeartbeatInterval: "1500ms", MaxRowBytes: "65536", MaxTaskLease: "6000ms", StopTimeout: "200ms", GangTimeout: "3000ms",
		HarmTime: "4000ms", NoticeTime: "4500ms", StatusRetention: "120s", RestoreTime: "600ms", RemoteFactor: "1.5",
	}
	data, err := json.Marshal(&s)
	if err != nil {
		return nil, err
	}
	n.file = filepath.Join(c.temp, n.name+".json")
	return n, os.WriteFile(n.file, data, 0o600)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	n.starts++
	out, err := os.Create(filepath.Join(n.c.temp, fmt.Sprintf("%s-%d.log", n.name, n.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(n.c.root, "target", "endivehill"), "cell")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = cmd.Process, ended
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		n.c.Note("%s has ended: %v", n.name, err)
		n.mu.Lock()
		n.process = nil
		n.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process and returns a channel that is closed at its end.
func (n *Node) Signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	_ = n.process.Signal(s)
	return n.ended
}

// Name returns the name of the node.
func (n *Node) Name() string { return n.name }

// Kill ends the process with SIGKILL and waits for its end.
func (n *Node) Kill() { <-n.Signal(syscall.SIGKILL) }

// PID returns the ID of the process, 0 if there is none.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.Pid
}

// IsReady reports whether the readiness probe succeeds.
func (n *Node) IsReady() bool {
	status, _ := get("http://" + n.Ready + platform.PathReady)
	return status == http.StatusOK
}

// OwnsCell reports whether the node says that it owns the cell.
func (n *Node) OwnsCell() bool {
	_, text := get("http://" + n.Metrics + "/metrics")
	return bytes.Contains(text, []byte("\nendivehill_cell_owner 1"))
}

// Owner returns the node that owns the cell, nil if there is none.
func (c *Case) Owner() *Node {
	for _, n := range c.Nodes {
		if n.OwnsCell() {
			return n
		}
	}
	return nil
}

func get(url string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

var callers = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// Call makes a call of a client and returns the status, 0 for none, and the body.
func (c *Case) Call(n *Node, method, queue, id, key string, body any) (int, string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	req, err := http.NewRequest(method, "http://"+n.HTTP+"/"+queue+"/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = standin.Host
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(names["key"], key)
	}
	resp, err := callers.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// Name returns a name of the wire.
func Name(short string) string { return names[short] }
