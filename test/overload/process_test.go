package overload

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const sampleInterval = 25 * time.Millisecond

// process is a process of the program under test, whose memory and descriptors are sampled
// while it runs.
type process struct {
	t       *testing.T
	address string // for callers
	cmd     *exec.Cmd
	log     string
	ended   chan struct{}

	mu          sync.Mutex
	peakUnread  int // bytes that the kernel has received for the process and the process has not read
	peakFiles   int
	peakMemory  int // VmHWM in bytes
	sampleError error
}

// launch is how a process is started.
type launch struct {
	env   []string // additional variables of the environment
	files int      // descriptors that the process may open; 0 for the limit of the system
}

func (l launch) command(args ...string) *exec.Cmd {
	cmd := exec.Command(programPath, args...)
	if l.files > 0 {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, l.files)
		cmd = exec.Command("sh", append([]string{"-c", script, programPath}, args...)...)
	}
	cmd.Env = append(os.Environ(), l.env...)
	return cmd
}

// startProcess starts a command of the program with settings, and ends it with the test.
func startProcess(t *testing.T, command, address string, settings any, l launch) *process {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd := l.command(command, "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, address: address, cmd: cmd, log: log.Name(), ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // checkAlive reports the end
		close(p.ended)
	}()
	go p.sampleLoop()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		<-p.ended
	})
	return p
}

func (p *process) sampleLoop() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ended:
			return
		case <-ticker.C:
			p.sample()
		}
	}
}

func (p *process) sample() {
	pid := p.cmd.Process.Pid
	memory, err := peakMemory(pid)
	unread, err2 := unreadBytes(p.address)
	files, err3 := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range []error{err, err2, err3} {
		if e != nil {
			p.sampleError = e
		}
	}
	p.peakMemory = max(p.peakMemory, memory)
	p.peakUnread = max(p.peakUnread, unread)
	p.peakFiles = max(p.peakFiles, len(files))
}

// peakMemory returns the largest resident memory of a process so far in bytes.
func peakMemory(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			return kb << 10, err
		}
	}
	return 0, nil // a process that has ended has no memory
}

// unreadBytes returns how many bytes the kernel has received and not yet delivered on the
// connections to a loopback address.
func unreadBytes(address string) (int, error) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	_, port, _ := strings.Cut(address, ":")
	n, err := strconv.Atoi(port)
	if err != nil {
		return 0, err
	}
	const listening = "0A"
	suffix, total := fmt.Sprintf(":%04X", n), 0
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line) // number, local and remote address, state, send:receive queue
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		total += int(bytes)
	}
	return total, nil
}

// throttle lets the process run for a share of the time.
func (p *process) throttle(share float64) {
	const period = 100 * time.Millisecond
	if share >= 1 {
		return
	}
	running := time.Duration(share * float64(period))
	go func() {
		for p.alive() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT) // it may have ended
			time.Sleep(running)
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(period - running)
		}
	}()
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// bounds are the limits of the machine that the settings of a process describe.
type bounds struct {
	memoryMB int
	files    int
}

// check fails the test if the process has ended, or has used more than the machine has.
func (p *process) check(b bounds) {
	p.t.Helper()
	if !p.alive() {
		p.t.Errorf("the process has ended: %v\n%s", p.cmd.ProcessState, p.logTail())
		return
	}
	p.sample()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sampleError != nil {
		p.t.Errorf("sample the process: %v", p.sampleError)
	}
	const mb = 1 << 20
	p.t.Logf("peak resident memory %d MB, peak unread %d KB, peak descriptors %d", p.peakMemory/mb, p.peakUnread>>10, p.peakFiles)
	if used := p.peakMemory + p.peakUnread; used > b.memoryMB*mb {
		p.t.Errorf("the process has used %d MB and %d KB of received data, its machine has %d MB", p.peakMemory/mb, p.peakUnread>>10, b.memoryMB)
	}
	if p.peakFiles > b.files {
		p.t.Errorf("the process has had %d descriptors, allowed are %d", p.peakFiles, b.files)
	}
}

func (p *process) logTail() string {
	const maxBytes = 4 << 10
	data := p.logText()
	return data[max(0, len(data)-maxBytes):]
}

func (p *process) logText() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// until polls a condition until it holds, and fails the test if it does not within a time
// that no working process needs.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const (
		timeout  = 30 * time.Second
		interval = 20 * time.Millisecond
	)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, timeout)
}
