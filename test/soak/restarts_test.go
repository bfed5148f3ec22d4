package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/platform/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// Restarts of workers under their IDs, and what surrounds them.
const (
	restartSeries       = 3 // workers that restart at a time
	minRestartsTime     = 20 * time.Second
	restartHeartbeat    = 1500 * time.Millisecond
	maxRestartPause     = 2 * time.Second // between two restarts of a series
	minDownTime         = 50 * time.Millisecond
	maxDownTime         = 900 * time.Millisecond
	maxUnlistedTime     = 4 * time.Second // from a restart to the entry in the list
	maxTimeBeforeCut    = 2500 * time.Millisecond
	minCutTime          = 500 * time.Millisecond
	maxCutTime          = 7 * time.Second // outlasts the lease of a worker
	lateCallShare       = 0.8
	minLateness         = 2 * time.Second
	maxLateness         = 12 * time.Second
	lateCallsBefore     = time.Second // the restart
	storeSlowBefore     = 500 * time.Millisecond
	storeSlowTime       = 4800 * time.Millisecond
	slowStoreDelay      = 380 * time.Millisecond
	ownerDownTime       = time.Second
	restartSubmitters   = 3
	restartSubmitPause  = 700 * time.Millisecond // mean time between two works of one submitter
	shortestTaskTime    = 60 * time.Millisecond
	longestShortTask    = 1500 * time.Millisecond
	minLongTaskTime     = 3 * time.Second
	maxLongTaskTime     = 15 * time.Second
	shortTasksOnAWorker = 2
)

// restartSeeds are the seeds of TestRestartedWorkersRunNothingTwice in CI.
var restartSeeds = []uint64{102}

// TestRestartedWorkersRunNothingTwice guards against tasks that run twice, at the same time or
// again after an acknowledged end as done, because a call that was meant for one incarnation of
// a worker takes effect on the next one under the same ID, or because the owner takes the next
// one for the one that it knows.
func TestRestartedWorkersRunNothingTwice(t *testing.T) {
	for _, v := range []struct {
		name          string
		partlyAdvised bool
	}{
		{"tickets", false},             // a ticket is valid for one incarnation
		{"some_without_tickets", true}, // so a later incarnation may carry out their starts
	} {
		t.Run(v.name, func(t *testing.T) {
			for _, seed := range seeds(restartSeeds) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) { runRestarts(t, seed, v.partlyAdvised) })
			}
		})
	}
}

func runRestarts(t *testing.T, seed uint64, partlyAdvised bool) {
	s := &soak{seed: seed, startedAt: time.Now(), partlyAdvised: partlyAdvised, heartbeatInterval: restartHeartbeat}
	s.makeDir(t)
	s.startPlatform(t)
	defer s.stopAndReport(t)
	if !s.awaitReady(startTimeout) {
		return
	}
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	s.startRestartLoad(ctx)
	s.restartWorkers(max(*durationFlag, minRestartsTime))
	s.activeFaults.Wait()
	stopLoad()
	s.clientLoops.Wait()
	s.cancelLongRunning()
	s.awaitWorksFinished()
	runs := tallyRuns(s.platform.Records())
	t.Logf("seed %d: %d runs lapsed, tasks by number of starts %v", seed, runs.lapsed, runs.tasksByStarts)
}

// startRestartLoad starts clients that submit short, long and long-running tasks until ctx ends.
func (s *soak) startRestartLoad(ctx context.Context) {
	for submitter := range restartSubmitters {
		s.clientLoops.Go(func() {
			r := s.newRand(fmt.Sprintf("restarts, submitter %d", submitter))
			for n := 0; ctx.Err() == nil; n++ {
				w := &submittedWork{
					id: fmt.Sprintf("%08x%08x", submitter+1, n), queue: []string{"quotes", "batch"}[r.IntN(2)], client: s.client,
					steps: []standin.Step{restartStep(r)},
				}
				s.trySubmit(r, w)
				clock.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(restartSubmitPause)))
			}
		})
	}
	s.clientLoops.Go(func() { s.submitLongRunning(ctx) })
}

// restartStep returns short tasks on all workers, so that each has ends to report, or a few
// long tasks.
func restartStep(r *rand.Rand) standin.Step {
	if r.IntN(4) == 0 {
		step := taskStep(1+r.IntN(3), 500, 0)
		step.RunTime = randomTime(r, minLongTaskTime, maxLongTaskTime)
		return step
	}
	step := taskStep(workerCount, 250, 0)
	step.RunTime = randomTime(r, shortestTaskTime, longestShortTask)
	step.MaxPerWorker = shortTasksOnAWorker
	return step
}

// restartWorkers restarts workers in restartSeries series at a time. Each series has workers
// of its own.
func (s *soak) restartWorkers(total time.Duration) {
	var series sync.WaitGroup
	for n := range restartSeries {
		series.Go(func() {
			r := s.newRand(fmt.Sprintf("restarts, series %d", n))
			for end := time.Now().Add(total); time.Now().Before(end); {
				time.Sleep(randomTime(r, 0, maxRestartPause))
				s.restartWorker(r, n+restartSeries*r.IntN(workerCount/restartSeries))
			}
		})
	}
	series.Wait()
}

// workerRestart is a restart of a worker with what surrounds it.
type workerRestart struct {
	slowStore   bool // the store is slow from before the restart on
	lateCalls   bool // calls before the restart may be carried out late
	again       bool // the worker crashes and restarts once more in the cut
	ownerKilled bool // in the cut
	cut         faultproxy.Faults
	unlisted    time.Duration // from the restart to the entry in the list
	beforeCut   time.Duration
	cutTime     time.Duration
}

func drawRestart(r *rand.Rand) workerRestart {
	w := workerRestart{slowStore: r.IntN(3) == 0, lateCalls: r.IntN(3) > 0, again: r.IntN(3) == 0, ownerKilled: r.IntN(4) == 0}
	w.cut = faultproxy.Faults{DropRequests: r.IntN(2) == 0, DropAnswers: true}
	if r.IntN(2) == 0 {
		w.unlisted = randomTime(r, 0, maxUnlistedTime)
	}
	if w.slowStore {
		w.unlisted = max(w.unlisted, slowStoreDelay)
	}
	w.beforeCut, w.cutTime = randomTime(r, 0, maxTimeBeforeCut), randomTime(r, minCutTime, maxCutTime)
	return w
}

// restartWorker restarts a worker and cuts it off soon after.
func (s *soak) restartWorker(r *rand.Rand, number int) {
	e, w, start := s.platform.Executors[number], drawRestart(r), time.Since(s.startedAt)
	if w.lateCalls {
		e.Faults.SetLate(lateCallShare, minLateness, maxLateness)
		time.Sleep(lateCallsBefore)
	}
	if w.slowStore {
		s.slowStore()
		time.Sleep(storeSlowBefore)
	}
	e.Faults.SetLate(0, 0, 0)
	s.crashAndRestart(r, number, w.unlisted)
	time.Sleep(w.beforeCut)
	s.cutOff(r, number, w)
	s.logFault("%8.3f to %8.3f: %s restarts: %+v", start.Seconds(), time.Since(s.startedAt).Seconds(), e.ID, w)
}

// cutOff cuts a worker off for a while.
func (s *soak) cutOff(r *rand.Rand, number int, w workerRestart) {
	s.setLink(s.workerLinks[number], w.cut)
	if w.cut.DropRequests {
		s.platform.Executors[number].DelayRegistration(max(w.cutTime, w.unlisted-w.beforeCut))
	}
	time.Sleep(w.cutTime / 2)
	if w.ownerKilled {
		s.killOwner(r)
	}
	if w.again {
		s.crashAndRestart(r, number, w.cutTime/2+w.unlisted/2)
		s.setLink(s.workerLinks[number], w.cut)
	}
	time.Sleep(w.cutTime / 2)
	s.setLink(s.workerLinks[number], faultproxy.Faults{})
}

// crashAndRestart crashes a worker and restarts it under its ID and address. Its entry in the
// list follows later.
func (s *soak) crashAndRestart(r *rand.Rand, number int, unlisted time.Duration) {
	s.setLink(s.workerLinks[number], faultproxy.Faults{Refuse: true})
	s.platform.Executors[number].Crash()
	time.Sleep(randomTime(r, minDownTime, maxDownTime))
	s.platform.Executors[number].DelayRegistration(unlisted)
	s.platform.Executors[number].Restart()
	s.setLink(s.workerLinks[number], faultproxy.Faults{})
}

// slowStore makes the store slow for a while, beginning now.
func (s *soak) slowStore() {
	s.slowStores.Add(1)
	s.platform.Store.Faults.SetDelay(slowStoreDelay)
	time.AfterFunc(storeSlowTime, func() {
		if s.slowStores.Add(-1) == 0 {
			s.platform.Store.Faults.SetDelay(0)
		}
	})
}

// killOwner kills the owner and starts its node again after a while.
func (s *soak) killOwner(r *rand.Rand) {
	n := s.cellOwner(r)
	n.kill()
	s.activeFaults.Go(func() {
		time.Sleep(ownerDownTime)
		n.start()
	})
}
