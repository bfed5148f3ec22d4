// Package soak runs a cell of real processes on stand-ins of the platform, injects
// faults from outside and checks what callers and workers see. Everything follows
// from a seed, but for the timing of the machine.
//
//	go test ./test/soak                               the seeds that have failed once, and one fixed one
//	go test ./test/soak -seeds 50 -duration 20s       fifty fresh seeds
//	go test ./test/soak -seed 7 -keep DIR             one seed again, with the logs in DIR
package soak

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// Size of a run.
const (
	nodeCount    = 4
	workerCount  = 10
	startTime    = 10 * time.Second
	recoveryTime = 12 * time.Second
	finishTime   = 45 * time.Second // for all works to end after the last fault
	statusPause  = 100 * time.Millisecond
)

var (
	program string // the program under test

	seedFlag     = flag.Uint64("seed", 0, "run only this seed")
	seedsFlag    = flag.Int("seeds", 0, "run so many fresh seeds")
	durationFlag = flag.Duration("duration", 10*time.Second, "time for which faults are injected")
	keepFlag     = flag.String("keep", "", "directory for the logs of the nodes; by default they are removed unless a check fails")
)

// regressions are the seeds that have failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "an owner without a configuration ignored the limits of teams and answered 404"},
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "endivehill-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "endivehill")
	out, err := exec.Command("go", "build", "-o", program, "github.com/endivehill/endivehill/cmd/endivehill").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Guards against promises that are broken when faults of nodes, links, workers and
// the store overlap.
func TestSoak(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func seeds() []uint64 {
	if *seedFlag != 0 {
		return []uint64{*seedFlag}
	}
	var out []uint64
	for range *seedsFlag {
		out = append(out, rand.Uint64N(1<<32))
	}
	if len(out) == 0 {
		for _, r := range regressions {
			out = append(out, r.seed)
		}
	}
	return out
}

// soak is one run.
type soak struct {
	seed  uint64
	dir   string
	began time.Time

	world       *standin.World
	nodes       []*node
	workerLinks []*faultproxy.Proxy
	proxies     []*faultproxy.Proxy
	client      *standin.Client
	former      *standin.Client // with a key that is withdrawn during the run
	queues      atomic.Int64    // queues that were added
	withdrawn   atomic.Pointer[time.Time]

	background, clients, injecting sync.WaitGroup

	publishing sync.Mutex
	mu         sync.Mutex
	works      []*sent
	doubtful   []*sent // shown as canceled without a confirmed cancellation
	notes      []string
	violations []string
}

func runSeed(t *testing.T, seed uint64) {
	s := &soak{seed: seed, began: time.Now()}
	s.makeDir(t)
	s.startWorld(t)
	defer s.stop(t)
	if !s.awaitReady(startTime) {
		return
	}
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	s.load(ctx)
	s.stopInTurn()
	s.withdrawKey()
	s.injectFaults(*durationFlag)
	for _, n := range s.nodes {
		n.start()
	}
	s.awaitReady(recoveryTime)
	stopLoad()
	s.clients.Wait()
	s.awaitEnds()
}

func (s *soak) makeDir(t *testing.T) {
	if *keepFlag != "" {
		s.dir = filepath.Join(*keepFlag, fmt.Sprint(s.seed))
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			t.Fatal(err)
		}
		return
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("endivehill-soak-%d-", s.seed))
	if err != nil {
		t.Fatal(err)
	}
	s.dir = dir
}

// random returns the numbers of one part of the run.
func (s *soak) random(part string) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(part)))
}

func (s *soak) startWorld(t *testing.T) {
	world, err := standin.Start(standin.Options{
		Pools:  []standin.Pool{{Name: "desk", Count: workerCount, Capacity: api.Resources{CpuMillis: 8000, MemoryMb: 16384}}},
		Queues: s.queueList(), Teams: teams(true), Good: 0.7,
		Advertise: func(address string) (string, error) {
			p, err := faultproxy.New(address)
			if err != nil {
				return "", err
			}
			s.workerLinks = append(s.workerLinks, p)
			return p.Address(), nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.world = world
	var addresses []string
	for n := range nodeCount {
		s.nodes = append(s.nodes, newNode(t, s, n))
		addresses = append(addresses, s.nodes[n].settings.HttpAddress)
	}
	s.client = standin.NewClient(world, addresses, "team", "secret")
	s.former = standin.NewClient(world, addresses, "team", "former")
	for _, n := range s.nodes {
		n.start()
	}
}

// proxy starts a proxy of a node's link.
func (s *soak) proxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New(target)
	if err != nil {
		s.violation("start a proxy: %v", err)
		return nil
	}
	s.proxies = append(s.proxies, p)
	return p
}

// teams returns the client accounts, with or without the key that is withdrawn.
func teams(former bool) []standin.Team {
	t := standin.Team{Name: "team", Keys: []string{"secret"}, Weight: 1000, Limit: api.Resources{CpuMillis: 40000, MemoryMb: 1 << 30}}
	if former {
		t.Keys = append(t.Keys, "former")
	}
	return []standin.Team{t}
}

func queueName(n int) string { return fmt.Sprintf("extra-%d", n) }

func (s *soak) queueList() []standin.Queue {
	out := []standin.Queue{{Name: "quotes", Pool: "desk", Attempts: 20}, {Name: "batch", Pool: "desk", Priority: 2, Attempts: 20},
		{Name: "hopeless", Pool: "desk", Attempts: 3}}
	for n := 1; n <= int(s.queues.Load()); n++ {
		out = append(out, standin.Queue{Name: queueName(n), Pool: "desk", Attempts: 3})
	}
	return out
}

// addQueue publishes a configuration with one more queue.
func (s *soak) addQueue() int {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.queues.Add(1)
	return s.world.Publish(s.queueList(), teams(s.withdrawn.Load() == nil))
}

// withdrawKey publishes a configuration without one of the keys.
func (s *soak) withdrawKey() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.world.Publish(s.queueList(), teams(false))
	now := time.Now()
	s.withdrawn.Store(&now)
}

// stopInTurn stops the nodes one after the other as planned, while nothing else goes
// wrong. No call of a client may be cut off.
func (s *soak) stopInTurn() {
	s.client.SetOnError(func(method, id string, err error) {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			s.violation("planned stops: %s of %q was not answered: %v", method, id, err)
		}
	})
	for _, n := range s.nodes[:2] {
		n.terminate()
		n.start()
		s.awaitReady(recoveryTime)
	}
	s.client.SetOnError(nil)
}

// awaitReady waits until all nodes are ready.
func (s *soak) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				s.violation("%s is not ready after %v", n.name, limit)
				return false
			}
			time.Sleep(statusPause)
		}
	}
	return true
}

// awaitEnds waits until every accepted work has ended, and checks how.
func (s *soak) awaitEnds() {
	end := time.Now().Add(finishTime)
	for _, w := range s.works {
		for n := 0; ; n++ {
			status, state, err := s.state(w, n)
			if err == nil && status == 200 && state != "queued" && state != "running" {
				s.checkEnd(w, state)
				break
			}
			if time.Now().After(end) {
				s.violation("work %s (%s) has not ended after %v: status %d, state %q, %v", w.id, w.kind, finishTime, status, state, err)
				break
			}
			time.Sleep(statusPause)
		}
	}
}

func (s *soak) checkEnd(w *sent, state string) {
	s.checkState(w, state)
	allowed := state == "completed" && !w.hopeless && !w.standing || state == "canceled" && w.canceled || state == "failed" && w.hopeless
	if !allowed {
		s.violation("work %s (%s, canceled %v) has ended as %s", w.id, w.kind, w.canceled, state)
	}
}

// stop ends the processes of this run and reports what was found.
func (s *soak) stop(t *testing.T) {
	for _, n := range s.nodes {
		n.kill()
	}
	s.clients.Wait()
	s.background.Wait()
	s.world.Stop()
	for _, p := range append(s.proxies, s.workerLinks...) {
		p.Close()
	}
	for _, v := range append(s.violations, s.world.Violations()...) {
		t.Error(v)
	}
	for _, v := range checker.Check(s.world.Records(), checker.DefaultOptions()) {
		t.Error(v)
	}
	t.Logf("seed %d: %d works accepted, %d faults", s.seed, len(s.works), len(s.notes))
	if !t.Failed() && *keepFlag == "" {
		_ = os.RemoveAll(s.dir) // in the system's directory for temporary files
		return
	}
	s.writeHistory(t)
	t.Logf("logs and history in %s\n%s", s.dir, strings.Join(s.notes, "\n"))
}

// writeHistory keeps what has happened beside the logs of the nodes.
func (s *soak) writeHistory(t *testing.T) {
	var b bytes.Buffer
	if err := history.Write(&b, s.world.Records()); err != nil {
		t.Error(err)
	}
	if err := os.WriteFile(filepath.Join(s.dir, "history.jsonl"), b.Bytes(), 0o600); err != nil {
		t.Error(err)
	}
}

func (s *soak) keep(w *sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.works = append(s.works, w)
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}

func (s *soak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}
