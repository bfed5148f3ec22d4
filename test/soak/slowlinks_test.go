package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// Delays of slow links, and for how long links are slow. The longest delays leave a round
// trip of less than 1.2 s.
const (
	minSlowDelay  = 50 * time.Millisecond // each way
	maxSlowDelay  = 580 * time.Millisecond
	minSlowTime   = 2 * time.Second
	maxSlowTime   = 6 * time.Second
	maxSlowPause  = time.Second // between two slow times of a series
	slowLinkLimit = 3           // links that are slow at a time
)

// Load beside slow links. It stays well below the limit of the team, so that no task has
// to wait for another or is preempted.
const (
	slowLinkSubmitters     = 4
	slowLinkSubmitInterval = time.Second // mean time between two works of one submitter
	minTaskTime            = 300 * time.Millisecond
	maxShortTaskTime       = 1500 * time.Millisecond
	maxTaskTime            = 8 * time.Second
	maxBurst               = 40 // tasks of one work that start at once
)

// slowLinkSeeds are the seeds of TestSlowLinks in CI.
var slowLinkSeeds = []uint64{1, 2}

// TestSlowLinks guards against tasks that are lost or started again because links are slow.
func TestSlowLinks(t *testing.T) {
	for _, seed := range seeds(slowLinkSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSlowLinks(t, seed) })
	}
}

func runSlowLinks(t *testing.T, seed uint64) {
	s := &soak{seed: seed, startedAt: time.Now()}
	s.makeDir(t)
	s.startPlatform(t)
	defer s.stopAndReport(t)
	if !s.awaitReady(startTimeout) {
		return
	}
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	s.startSlowLinkLoad(ctx)
	s.slowDownLinks(*durationFlag)
	stopLoad()
	s.clientLoops.Wait()
	s.cancelLongRunning()
	s.awaitWorksFinished()
	s.checkRunsKept(t)
}

// startSlowLinkLoad starts clients that submit tasks of 0.3 to 8 s and long-running tasks
// until ctx ends.
func (s *soak) startSlowLinkLoad(ctx context.Context) {
	for submitter := range slowLinkSubmitters {
		s.clientLoops.Go(func() {
			r := s.newRand(fmt.Sprintf("slow links, submitter %d", submitter))
			for n := 0; ctx.Err() == nil; n++ {
				w := &submittedWork{
					id: fmt.Sprintf("%08x%08x", submitter+1, n), queue: "quotes", client: s.client, steps: []standin.Step{mixedStep(r)},
				}
				s.trySubmit(r, w)
				clock.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(slowLinkSubmitInterval)))
			}
		})
	}
	s.clientLoops.Go(func() { s.submitLongRunning(ctx) })
	s.clientLoops.Go(func() { s.watchLongRunning(ctx) })
}

// mixedStep returns a few short tasks, a few longer ones, or many short ones at once.
func mixedStep(r *rand.Rand) standin.Step {
	step := standin.Step{Count: 1 + r.IntN(4), Size: api.Resources{CpuMillis: 500, MemoryMb: 256}}
	switch r.IntN(3) {
	case 0:
		step.RunTime = randomTime(r, minTaskTime, maxShortTaskTime)
	case 1:
		step.RunTime = randomTime(r, maxShortTaskTime, maxTaskTime)
	default:
		step.Count = maxBurst/2 + r.IntN(maxBurst/2)
		step.Size.CpuMillis = 250
		step.RunTime = randomTime(r, minTaskTime, maxShortTaskTime)
	}
	return step
}

func randomTime(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}

// slowDownLinks makes links to workers slow in slowLinkLimit series at a time. Each series
// has links of its own.
func (s *soak) slowDownLinks(total time.Duration) {
	var series sync.WaitGroup
	for n := range slowLinkLimit {
		series.Go(func() {
			r := s.newRand(fmt.Sprintf("slow links, series %d", n))
			for end := time.Now().Add(total); time.Now().Before(end); {
				time.Sleep(randomTime(r, 0, maxSlowPause))
				s.slowDownLink(r, n+slowLinkLimit*r.IntN(workerCount/slowLinkLimit))
			}
		})
	}
	series.Wait()
}

// slowDownLink makes the link to a worker slow for a while.
func (s *soak) slowDownLink(r *rand.Rand, number int) {
	f := faultproxy.Faults{Delay: randomTime(r, minSlowDelay, maxSlowDelay), AnswerDelay: randomTime(r, minSlowDelay, maxSlowDelay)}
	start := time.Since(s.startedAt)
	s.setLink(s.workerLinks[number], f)
	time.Sleep(randomTime(r, minSlowTime, maxSlowTime))
	s.setLink(s.workerLinks[number], faultproxy.Faults{})
	s.logFault("%8.3f to %8.3f: link to %s slow: requests by %v, answers by %v", start.Seconds(), time.Since(s.startedAt).Seconds(),
		s.platform.Executors[number].ID, f.Delay.Round(time.Millisecond), f.AnswerDelay.Round(time.Millisecond))
}

// checkRunsKept checks that no run was lost and no task was started again, and prints what
// the owner and the workers counted.
func (s *soak) checkRunsKept(t *testing.T) {
	lost := s.countLostRuns()
	if lost > 0 {
		s.addViolation("%d runs were declared lost", lost)
	}
	runs := tallyRuns(s.platform.Records())
	if runs.lapsed > 0 {
		s.addViolation("the leases of %d runs expired", runs.lapsed)
	}
	for _, copied := range runs.copies {
		s.addViolation("task started again: %s", copied)
	}
	t.Logf("seed %d: %d runs lost, %d lapsed, %d second copies, tasks by number of starts %v", s.seed, lost, runs.lapsed, len(runs.copies), runs.tasksByStarts)
	t.Logf("seed %d: calls to workers of the last owner: %v", s.seed, s.ownerMetrics("endivehill_cell_worker_calls"))
}

// runTally counts the runs in a history.
type runTally struct {
	lapsed        int      // runs whose lease expired at their worker
	copies        []string // starts of a task that had been started before
	tasksByStarts map[int]int
}

// tallyRuns counts the runs of a history in which no task fails or is preempted, so that
// each task has one run.
func tallyRuns(records []history.Record) runTally {
	out := runTally{tasksByStarts: map[int]int{}}
	starts := map[string][]history.Record{}
	ends := map[string]string{}
	for _, r := range records {
		switch r.Kind {
		case history.TaskStop:
			ends[r.Task] = fmt.Sprintf("%s at %.3f s", r.Reason, r.At.Seconds())
			if r.Reason == "lapsed" {
				out.lapsed++
			}
		case history.TaskStart:
			if earlier := starts[r.Task]; len(earlier) > 0 {
				last := earlier[len(earlier)-1]
				out.copies = append(out.copies, fmt.Sprintf("%s, attempt %d on %s at %.3f s after attempt %d on %s at %.3f s, end: %q",
					r.Task, r.Attempt, r.VM, r.At.Seconds(), last.Attempt, last.VM, last.At.Seconds(), ends[r.Task]))
			}
			starts[r.Task] = append(starts[r.Task], r)
		}
	}
	for _, s := range starts {
		out.tasksByStarts[len(s)]++
	}
	return out
}

// countLostRuns returns the number of runs that owners have declared lost, from the logs
// because those of earlier owners count too.
func (s *soak) countLostRuns() int {
	logs, err := filepath.Glob(filepath.Join(s.dir, "node-*.log"))
	if err != nil || len(logs) == 0 {
		s.addViolation("no logs: %v", err)
	}
	lost := 0
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			s.addViolation("read a log: %v", err)
		}
		lost += strings.Count(string(text), "event=7062 ")
	}
	return lost
}

// ownerMetrics returns the values of a metric of the owner, by the text of their labels.
func (s *soak) ownerMetrics(name string) map[string]float64 {
	out := map[string]float64{}
	for _, n := range s.nodes {
		if !n.ownsCell() {
			continue
		}
		_, text := n.get(n.settings.MetricsAddress, "/metrics")
		for line := range strings.Lines(text) {
			labels, value, ok := strings.Cut(strings.TrimSpace(strings.TrimPrefix(line, name+"{")), "} ")
			if !ok || !strings.HasPrefix(line, name) {
				continue
			}
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				out[labels] = v
			}
		}
	}
	return out
}
