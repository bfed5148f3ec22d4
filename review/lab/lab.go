// Package lab runs a small cell for the cases of the review: nodes as processes of their
// own, started with the command of the deploy file, on the platform's stand-ins. It uses
// loopback addresses and free ports only.
package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/platform"
	"github.com/endivehill/endivehill/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// addressesPerNode is the number of addresses that a node listens on.
const addressesPerNode = 4

// startTimeout is how long the nodes may take until all are ready.
const startTimeout = 15 * time.Second

// Options configures a Lab.
type Options struct {
	Folder   string // of the case; record.txt is written there
	Program  string // target/endivehill
	Trouble  bool   // false: without the disruption
	Nodes    int
	Platform standin.Options
	// WrapStore, if not nil, wraps the handler of the store, to add what the stand-in lacks.
	WrapStore func(http.Handler) http.Handler
}

// Lab is a running cell.
type Lab struct {
	Platform *standin.Platform
	History  *history.Recorder
	Nodes    []*Node
	// Trouble is false if the case is to run without its disruption.
	Trouble bool

	names   map[string]string // wire names, from names.json of the package
	folder  string
	program string
	tempDir string
	store   string
	began   time.Time
	client  *http.Client

	mu     sync.Mutex
	record *os.File
}

// Node is one node of the cell.
type Node struct {
	Name                     string
	Front, ready, metricsURL string
	settings                 string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	stopped bool // the case has ended the process
	Ends    int  // ends of the process that the case did not cause
}

// Main runs a case and exits with its exit code.
func Main(o Options, run func(l *Lab) (int, error)) {
	l, err := start(o)
	code := NotRun
	if err == nil {
		code, err = run(l)
	}
	if l != nil {
		if err != nil {
			l.Note("the case could not run: %v", err)
			code = NotRun
		}
		l.Note("exit code %d (0 held, 1 broken, 2 could not run)", code)
		l.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func start(o Options) (*Lab, error) {
	record, err := os.Create(filepath.Join(o.Folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &Lab{
		Trouble: o.Trouble, folder: o.Folder, program: o.Program, record: record, began: time.Now(),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	if l.tempDir, err = os.MkdirTemp("", "endivehill-review-"); err != nil {
		return l, err
	}
	data, err := os.ReadFile(filepath.Join(o.Folder, "..", "lab", "names.json"))
	if err != nil {
		return l, err
	}
	if err := json.Unmarshal(data, &l.names); err != nil {
		return l, err
	}
	l.History = history.NewRecorder()
	o.Platform.Recorder = l.History
	if l.Platform, err = standin.Start(o.Platform); err != nil {
		return l, err
	}
	l.store = l.Platform.StoreAddress
	if o.WrapStore != nil {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return l, err
		}
		l.store = listener.Addr().String()
		go func() { _ = http.Serve(listener, o.WrapStore(l.Platform.Store.Handler())) }() // ends with the process
	}
	addresses, err := freeAddresses(addressesPerNode * o.Nodes)
	if err != nil {
		return l, err
	}
	for n := range o.Nodes {
		if err := l.addNode(n, addresses[addressesPerNode*n:]); err != nil {
			return l, err
		}
	}
	l.Note("trouble=%v, %d nodes, %d executors", l.Trouble, len(l.Nodes), len(l.Platform.Executors))
	return l, l.awaitReady()
}

// Now returns the time since the start of the history, as in its records.
func (l *Lab) Now() time.Duration { return l.History.Now() }

// Note writes a line to record.txt, with the time since the start of the case.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line)
	if !strings.HasPrefix(format, "-") {
		fmt.Print(line)
	}
}

// freeAddresses returns addresses with different free ports, below those that the system
// gives to outgoing connections. All are open at the same time, so that none is given twice.
func freeAddresses(count int) ([]string, error) {
	const firstPort, ports, maxTries = 15000, 15000, 1000
	var out []string
	for range maxTries {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil {
			continue // in use
		}
		defer listener.Close()
		if out = append(out, listener.Addr().String()); len(out) == count {
			return out, nil
		}
	}
	return nil, fmt.Errorf("only %d of %d ports are free", len(out), count)
}

// addNode starts a node with the settings of a small deployment: those of the template of
// the deploy file, with the bounds of the site dyniowe-bilety.
func (l *Lab) addNode(number int, addresses []string) error {
	n := &Node{Name: fmt.Sprintf("front-%c-%d", 'a'+number%3, number/3+1), Front: addresses[0], ready: addresses[1]}
	settings := map[string]string{
		"node": n.Name, "failure_domain": fmt.Sprintf("mazowsze-%c", 'a'+number%3),
		"http_address": addresses[0], "ready_address": addresses[1], "peer_address": addresses[2], "metrics_address": addresses[3],
		"store_address": l.store, "adviser_address": l.Platform.AdviserAddress,
		"cpu_share": "0.4", "memory_mb": "284", "max_open_files": "4100",
		"drain_time": "2000ms", "grace_time": "6s", "revoke_time": "5000ms", "max_task_lease": "6000ms", "stop_timeout": "200ms",
		"gang_timeout": "3000ms", "harm_time": "4000ms", "notice_time": "4500ms", "status_retention": "120s",
		"restore_time": "600ms", "remote_factor": "1.5",
	}
	n.metricsURL = "http://" + addresses[3] + "/metrics"
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(l.tempDir, n.Name+".json")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return err
	}
	l.Nodes = append(l.Nodes, n)
	return l.StartNode(n)
}

// StartNode starts the process of a node. A process that ends without the case having
// stopped it is started again after a second, as the platform does.
func (l *Lab) StartNode(n *Node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(l.tempDir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(l.program, "cell")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended, n.stopped = cmd.Process, ended, false
	go func() {
		err := cmd.Wait()
		_ = log.Close() // the process has ended, so nothing more is written
		close(ended)
		n.mu.Lock()
		stopped := n.stopped
		if !stopped {
			n.Ends++
		}
		n.mu.Unlock()
		if !stopped {
			l.Note("node %s ended by itself: %v", n.Name, err)
			time.Sleep(time.Second)
			_ = l.StartNode(n) // a node that does not start again is not ready, which the case sees
		}
	}()
	return nil
}

// Kill ends the process of a node with SIGKILL and returns once it has ended.
func (n *Node) Kill() {
	n.mu.Lock()
	n.stopped = true
	process, ended := n.process, n.ended
	n.mu.Unlock()
	if process != nil {
		_ = process.Kill() // an error means that it has ended already
		<-ended
	}
}

// Signal sends a signal that does not end the process.
func (n *Node) Signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Signal(s)
}

// Ready reports whether the readiness probe of a node succeeds.
func (l *Lab) Ready(n *Node) bool {
	status, _, err := l.get("http://" + n.ready + platform.PathReady)
	return err == nil && status == http.StatusOK
}

// OwnsCell reports whether a node says in its metrics that it owns the cell.
func (l *Lab) OwnsCell(n *Node) bool {
	_, text, err := l.get(n.metricsURL)
	return err == nil && strings.Contains(string(text), "\nendivehill_cell_owner 1")
}

// Owner returns the node that owns the cell, nil if none does.
func (l *Lab) Owner() *Node {
	for _, n := range l.Nodes {
		if l.OwnsCell(n) {
			return n
		}
	}
	return nil
}

func (l *Lab) get(url string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func (l *Lab) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range l.Nodes {
			if l.Ready(n) {
				ready++
			}
		}
		if ready == len(l.Nodes) {
			l.Note("all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("the nodes were not ready within %v", startTimeout)
}

func (l *Lab) stop() {
	for _, n := range l.Nodes {
		n.Kill()
	}
	if l.Platform != nil {
		l.Platform.Stop()
	}
	if keep := os.Getenv("KEEP"); keep != "" && l.tempDir != "" {
		_ = exec.Command("cp", "-r", l.tempDir, keep).Run()
	}
	_ = os.RemoveAll(l.tempDir) // a file that stays there does no harm
	_ = l.record.Close()
}

// Name returns a wire name from the data file of the package.
func (l *Lab) Name(key string) string { return l.names[key] }

// Call makes one call of a client at a node and notes it. Status 0 means that there was no
// complete response.
func (l *Lab) Call(n *Node, method, queue, id, key string, body []byte) (int, []byte) {
	began := time.Now()
	status, data, err := l.call(n, method, queue, id, key, body)
	l.Note("- %s /%s/%s at %s (sent %.3f s): %d %s %v", method, queue, id, n.Name, began.Sub(l.began).Seconds(), status, data, err)
	return status, data
}

func (l *Lab) call(n *Node, method, queue, id, key string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+n.Front+"/"+queue+"/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = standin.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(l.names["key"], key)
	req.Header.Set(l.names["timeLeft"], "3000")
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, data, nil
}

// Submit submits a work and repeats the call at another node after a refusal or without a
// response, as the clients of the platform do: four retries at most. It returns the last
// status.
func (l *Lab) Submit(first int, queue, id, key string, body []byte) int {
	status := 0
	for try := range 5 {
		status, _ = l.Call(l.Nodes[(first+try)%len(l.Nodes)], http.MethodPost, queue, id, key, body)
		if status/100 == 2 || status/100 == 4 && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// State returns the state of a work that a node shows, empty if it answers with none.
func (l *Lab) State(n *Node, queue, id, key string) (int, string) {
	status, data, err := l.call(n, http.MethodGet, queue, id, key, nil)
	var out struct {
		State string `json:"state"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &out) != nil {
		return status, ""
	}
	return status, out.State
}

// StoreRow returns the value of a row with an empty part, as the store answers it.
func (l *Lab) StoreRow(table, key string) ([]byte, error) {
	_, data, err := l.get("http://" + l.store + l.names["readTable"] + table)
	if err != nil {
		return nil, err
	}
	var out struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, err
	}
	for _, r := range out.Rows {
		if r.Key == key {
			return r.Value, nil
		}
	}
	return nil, fmt.Errorf("the store has no row %s in %s", key, table)
}

// Unacknowledged returns the ends that an executor still lists, as "task run": those that
// nobody has taken note of. It ends the ownership of the cell, so it comes last in a case.
func (l *Lab) Unacknowledged(e *standin.Executor) (map[string]bool, error) {
	text, err := l.StoreRow("servers", e.ID)
	if err != nil {
		return nil, err
	}
	var entry struct {
		Address string `json:"address"`
	}
	if err := json.Unmarshal(text, &entry); err != nil {
		return nil, err
	}
	resp, err := l.client.Post("http://"+entry.Address+l.names["list"], "application/json", strings.NewReader(l.names["listBody"]))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out struct {
		Finished [][]any `json:"finished"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, err
	}
	listed := map[string]bool{}
	for _, end := range out.Finished {
		listed[fmt.Sprintf("%v %v", end[1], end[2])] = true
	}
	return listed, nil
}

// Again returns a line for each start of a task after a run of it had ended as done, if
// that end was taken note of.
func (l *Lab) Again(runs []*Run) ([]string, error) {
	unacknowledged := map[string]bool{} // by executor, task and run
	for _, e := range l.Platform.Executors {
		listed, err := l.Unacknowledged(e)
		if err != nil {
			return nil, err
		}
		for end := range listed {
			unacknowledged[e.ID+" "+end] = true
		}
	}
	var out []string
	byTask := map[string][]*Run{}
	for _, r := range runs {
		for _, other := range byTask[r.Task] {
			executor, _, _ := strings.Cut(other.Executor, "/")
			if other.End == "done" && other.To < r.From && !unacknowledged[fmt.Sprintf("%s %s %d", executor, other.Task, other.Attempt)] {
				out = append(out, fmt.Sprintf("TWICE: task %s: run %d on %s (%s), whose end was taken note of, and then run %d on %s (%s)",
					r.Task, other.Attempt, other.Executor, other.span(), r.Attempt, r.Executor, r.span()))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return out, nil
}

// Run is one run of a task on an executor, as the executor saw it.
type Run struct {
	Task, Executor string
	Attempt        int
	From, To       time.Duration
	End            string // empty while it runs
}

// Runs returns the runs in the order of their starts.
func (l *Lab) Runs() []*Run {
	var out []*Run
	open := map[string]*Run{}
	for _, r := range l.History.Records() {
		key := fmt.Sprintf("%s %s %d", r.VM, r.Task, r.Attempt)
		switch r.Kind {
		case history.TaskStart:
			run := &Run{Task: r.Task, Executor: r.VM, Attempt: r.Attempt, From: r.At, To: 1 << 62}
			open[key] = run
			out = append(out, run)
		case history.TaskStop:
			if run := open[key]; run != nil {
				run.To, run.End = r.At, r.Reason
				delete(open, key)
			}
		}
	}
	return out
}

// Twice returns a line for each pair of runs of one task that ran at the same time on
// executors that were up.
func Twice(runs []*Run) []string {
	var out []string
	byTask := map[string][]*Run{}
	for _, r := range runs {
		for _, other := range byTask[r.Task] {
			if r.From < other.To && other.From < r.To {
				both := min(r.To, other.To) - max(r.From, other.From)
				out = append(out, fmt.Sprintf("TWICE: task %s: run %d on %s (%s) and run %d on %s (%s) at the same time for %.0f ms",
					r.Task, other.Attempt, other.Executor, other.span(), r.Attempt, r.Executor, r.span(), float64(both)/1e6))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return out
}

func (r *Run) span() string {
	if r.End == "" {
		return fmt.Sprintf("%.3f s to the end of the case", r.From.Seconds())
	}
	return fmt.Sprintf("%.3f to %.3f s, %s", r.From.Seconds(), r.To.Seconds(), r.End)
}

// NoteRuns writes all runs to the record.
func (l *Lab) NoteRuns(runs []*Run) {
	for _, r := range runs {
		l.Note("- run %d of %s on %s: %s", r.Attempt, r.Task, r.Executor, r.span())
	}
}
