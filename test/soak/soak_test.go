// Package soak runs a cell of real processes against stand-ins of the platform, injects
// faults from outside the processes and checks what callers and workers observe. Load
// and faults are derived from a seed; only the timing of the machine is not. A run has two
// parts with faults, each followed by a calm time. The first part keeps to the list of
// faults and the random sources that earlier versions had, so that their seeds stay valid.
//
// TestSlowLinks has a scenario of its own, in which links only get slow, and
// TestRestartedWorkersRunNothingTwice one in which workers restart under their IDs.
//
//	go test ./test/soak                               the regression seeds
//	go test ./test/soak -seeds 50 -duration 20s       50 random seeds
//	go test ./test/soak -seed 7 -keep DIR             one seed, with the logs kept in DIR
//	go test ./test/soak -run TestSlowLinks -seeds 9   9 random seeds of one scenario
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

// Size of the cell and time limits of a run.
const (
	usualNodeCount  = 4
	largeNodeCount  = 7 // in a quarter of the runs
	workerCount     = 10
	startTimeout    = 10 * time.Second
	recoveryTimeout = 12 * time.Second
	finishTimeout   = 45 * time.Second // for all works to finish after the last fault
	pollInterval    = 100 * time.Millisecond
)

var (
	programPath string // binary under test

	seedFlag     = flag.Uint64("seed", 0, "run this seed only")
	allFlag      = flag.Bool("regression", false, "run all regression seeds")
	seedsFlag    = flag.Int("seeds", 0, "number of random seeds to run")
	durationFlag = flag.Duration("duration", 10*time.Second, "time for which faults are injected in the first part of a run; the second part takes half of it")
	keepFlag     = flag.String("keep", "", "directory for the logs of the nodes; by default they are removed unless a check fails")
)

// regressionSeeds are seeds that failed in the past, each with the cause. Those with the
// cause of another one are played with -regression only, to keep CI short.
var regressionSeeds = []struct {
	seed     uint64
	repeated bool // another seed has the same cause
	cause    string
}{
	{1, false, "an owner without a configuration ignored the limits of teams and answered 404"},
	{152, false, "workers whose registration had expired were never asked for again, so long-running tasks did not run"},
	{669, true, "workers of a lost advice call that was not the first of its step were never asked for again"},
	{2107199174, false, "a refused connection counted as the end of a worker, so its tasks ran twice"},
	{2034011355, true, "a refused connection counted as the end of a worker, so its team exceeded its limit"},
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
	programPath = filepath.Join(dir, "endivehill")
	out, err := exec.Command("go", "build", "-o", programPath, "github.com/endivehill/endivehill/cmd/endivehill").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// TestSoak checks that the guarantees to callers and workers hold when faults of nodes,
// links, workers, the adviser and the store overlap, and that long-running tasks run
// whenever there has been no fault for a while.
func TestSoak(t *testing.T) {
	for _, seed := range seeds(wantedRegressionSeeds()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// seeds returns the seeds that the flags ask for, or the usual ones.
func seeds(usual []uint64) []uint64 {
	if *seedFlag != 0 {
		return []uint64{*seedFlag}
	}
	if *seedsFlag == 0 {
		return usual
	}
	var out []uint64
	for range *seedsFlag {
		out = append(out, rand.Uint64N(1<<32))
	}
	return out
}

func wantedRegressionSeeds() []uint64 {
	var out []uint64
	for _, r := range regressionSeeds {
		if !r.repeated || *allFlag {
			out = append(out, r.seed)
		}
	}
	return out
}

// soak is one run of the test with one seed.
type soak struct {
	seed      uint64
	dir       string
	startedAt time.Time

	platform           *standin.Platform
	nodes              []*node
	workerLinks        []*faultproxy.Proxy
	proxies            []*faultproxy.Proxy
	client             *standin.Client
	withdrawnKeyClient *standin.Client // uses a key that is withdrawn during the run
	longRunningClient  *standin.Client
	addedQueues        atomic.Int64  // number of queues added during the run
	slowStores         atomic.Int64  // reasons why the store is slow
	partlyAdvised      bool          // starts on one of the queues need no ticket
	heartbeatInterval  time.Duration // of the workers; 0 for the default
	withdrawnAt        atomic.Pointer[time.Time]
	evacuates          bool       // the operator requests evacuations of failure domains
	evacuationMu       sync.Mutex // held while a domain is evacuated
	faultsEnd          time.Time  // from which the current part of the run starts no more faults

	lightLoad          atomic.Bool  // the clients submit less often
	waitingLongRunning atomic.Int64 // long-running tasks that did not run when last observed

	processes, clientLoops, activeFaults sync.WaitGroup

	publishMu          sync.Mutex
	mu                 sync.Mutex
	acceptedWorks      []*submittedWork
	unconfirmedCancels []*submittedWork // reported as canceled without a confirmed cancellation
	livingWorks        []*submittedWork // long-running works that live until the end of the run
	faultsInProgress   int
	lastFaultEnd       time.Time
	faultLog           []string
	violations         []string
}

func runSeed(t *testing.T, seed uint64) {
	s := &soak{seed: seed, startedAt: time.Now(), evacuates: true}
	s.makeDir(t)
	s.startPlatform(t)
	defer s.stopAndReport(t)
	if !s.awaitReady(startTimeout) {
		return
	}
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	s.startLoad(ctx)
	s.recordFault(s.restartNodesGracefully)
	s.withdrawKey()
	s.injectFaults(*durationFlag, faultStream{"faults", faults, meanFaultInterval})
	s.lightLoad.Store(true)
	s.recover()
	s.injectFaults(*durationFlag/2, s.secondPart()...)
	s.recover()
	stopLoad()
	s.clientLoops.Wait()
	s.cancelLongRunning()
	s.awaitWorksFinished()
}

// recover waits without faults until the nodes are ready and the long-running tasks run.
func (s *soak) recover() {
	for _, n := range s.nodes {
		n.start()
	}
	s.awaitReady(recoveryTimeout)
	s.awaitCalm()
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

// newRand returns the random generator of one part of the run.
func (s *soak) newRand(part string) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(part)))
}

func (s *soak) startPlatform(t *testing.T) {
	platform, err := standin.Start(standin.Options{
		Pools:  []standin.Pool{{Name: "desk", Count: workerCount, Capacity: api.Resources{CpuMillis: 8000, MemoryMb: 16384}}},
		Queues: s.queueList(), Teams: teams(true), AdvisedShare: 0.7,
		HeartbeatInterval: s.heartbeatInterval,
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
	s.platform = platform
	var addresses []string
	for n := range s.nodeCount() {
		s.nodes = append(s.nodes, newNode(t, s, n))
		addresses = append(addresses, s.nodes[n].settings.HttpAddress)
	}
	s.client = standin.NewClient(platform, addresses, "team", "secret")
	s.withdrawnKeyClient = standin.NewClient(platform, addresses, "team", "former")
	s.longRunningClient = standin.NewClient(platform, addresses, longRunningTeam, longRunningKey)
	for _, n := range s.nodes {
		n.start()
	}
}

func (s *soak) nodeCount() int {
	if s.newRand("node count").IntN(4) == 0 {
		return largeNodeCount
	}
	return usualNodeCount
}

// startProxy starts a fault proxy for a link of a node.
func (s *soak) startProxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New(target)
	if err != nil {
		s.addViolation("start a fault proxy: %v", err)
		return nil
	}
	s.proxies = append(s.proxies, p)
	return p
}

// teams returns the configured teams, with or without the key that is withdrawn during
// the run.
func teams(withWithdrawnKey bool) []standin.Team {
	t := standin.Team{Name: "team", Keys: []string{"secret"}, Weight: 1000, Limit: teamLimit("team")}
	if withWithdrawnKey {
		t.Keys = append(t.Keys, "former")
	}
	return []standin.Team{t, {Name: longRunningTeam, Keys: []string{longRunningKey}, Weight: 1000, Limit: teamLimit(longRunningTeam)}}
}

// teamLimit returns what a team may use at a time.
func teamLimit(team string) api.Resources {
	if team == longRunningTeam {
		return longRunningLimit
	}
	return api.Resources{CpuMillis: 40000, MemoryMb: 1 << 30}
}

func queueName(n int) string { return fmt.Sprintf("extra-%d", n) }

func (s *soak) queueList() []standin.Queue {
	out := []standin.Queue{{Name: "quotes", Pool: "desk", MaxAttempts: 20}, {Name: "batch", Pool: "desk", Priority: 2, MaxAttempts: 20, Unadvised: s.partlyAdvised},
		{Name: "hopeless", Pool: "desk", MaxAttempts: 3}}
	for n := 1; n <= int(s.addedQueues.Load()); n++ {
		out = append(out, standin.Queue{Name: queueName(n), Pool: "desk", MaxAttempts: 3})
	}
	return out
}

// addQueue publishes a configuration with one more queue.
func (s *soak) addQueue() int {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.addedQueues.Add(1)
	return s.platform.Publish(s.queueList(), teams(s.withdrawnAt.Load() == nil))
}

// withdrawKey publishes a configuration without one of the keys.
func (s *soak) withdrawKey() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.platform.Publish(s.queueList(), teams(false))
	now := time.Now()
	s.withdrawnAt.Store(&now)
}

// restartNodesGracefully terminates and restarts two nodes, one after the other, before
// any fault is injected, and checks that no call of a client is interrupted.
func (s *soak) restartNodesGracefully() {
	s.client.SetOnError(func(method, id string, err error) {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			s.addViolation("graceful restarts: %s of %q was not answered: %v", method, id, err)
		}
	})
	for _, n := range s.nodes[:2] {
		n.terminate()
		n.start()
		s.awaitReady(recoveryTimeout)
	}
	s.client.SetOnError(nil)
}

// awaitReady waits until all nodes are ready.
func (s *soak) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				s.addViolation("%s is not ready after %v", n.name, limit)
				return false
			}
			time.Sleep(pollInterval)
		}
	}
	return true
}

// awaitWorksFinished waits until every accepted work has finished, and checks its final
// state.
func (s *soak) awaitWorksFinished() {
	end := time.Now().Add(finishTimeout)
	for _, w := range s.acceptedWorks {
		for n := 0; ; n++ {
			status, state, err := s.workState(w, n)
			if err == nil && status == 200 && state != "queued" && state != "running" {
				s.checkFinalState(w, state)
				break
			}
			if time.Now().After(end) {
				s.addViolation("work %s (%s) has not finished after %v: status %d, state %q, error %v", w.id, w.kind, finishTimeout, status, state, err)
				break
			}
			time.Sleep(pollInterval)
		}
	}
}

func (s *soak) checkFinalState(w *submittedWork, state string) {
	s.checkState(w, state)
	allowed := state == "completed" && !w.failing && !w.service || state == "canceled" && w.canceled || state == "failed" && w.failing
	if !allowed {
		s.addViolation("work %s (%s, canceled %v) has the unexpected final state %s", w.id, w.kind, w.canceled, state)
	}
}

// stopAndReport stops all processes of the run and reports the violations.
func (s *soak) stopAndReport(t *testing.T) {
	for _, n := range s.nodes {
		n.kill()
	}
	s.clientLoops.Wait()
	s.processes.Wait()
	s.platform.Stop()
	for _, p := range append(s.proxies, s.workerLinks...) {
		p.Close()
	}
	for _, v := range append(s.violations, s.platform.Violations()...) {
		t.Error(v)
	}
	for _, v := range checker.Check(s.platform.Records(), checker.DefaultOptions()) {
		t.Error(v)
	}
	for _, v := range evacuationViolations(s.platform.Records()) {
		t.Error(v)
	}
	t.Logf("seed %d: %d works accepted, %d faults", s.seed, len(s.acceptedWorks), len(s.faultLog))
	if !t.Failed() && *keepFlag == "" {
		_ = os.RemoveAll(s.dir) // if this fails, the files stay in the temporary directory of the system
		return
	}
	s.writeHistory(t)
	t.Logf("logs and history in %s\n%s", s.dir, strings.Join(s.faultLog, "\n"))
}

// writeHistory writes the recorded events to the directory of the node logs.
func (s *soak) writeHistory(t *testing.T) {
	var b bytes.Buffer
	if err := history.Write(&b, s.platform.Records()); err != nil {
		t.Error(err)
	}
	if err := os.WriteFile(filepath.Join(s.dir, "history.jsonl"), b.Bytes(), 0o600); err != nil {
		t.Error(err)
	}
}

func (s *soak) addAccepted(w *submittedWork) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptedWorks = append(s.acceptedWorks, w)
}

// recordFault calls f and counts the time as disturbed by a fault.
func (s *soak) recordFault(f func()) {
	s.mu.Lock()
	s.faultsInProgress++
	s.mu.Unlock()
	f()
	s.mu.Lock()
	s.faultsInProgress--
	s.lastFaultEnd = time.Now()
	s.mu.Unlock()
}

func (s *soak) logFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, fmt.Sprintf(format, args...))
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%.3f s: ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}
