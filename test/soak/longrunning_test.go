package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/platform/standin"
)

// Bounds of the guarantee that a long-running task runs. It holds while the team uses less
// than half of its limit and the workers that may run the task have room for minRoom more.
const (
	restartTime    = 6 * time.Second // from the end of the last run of a task
	maxWait        = 3 * time.Second // for which a task that is due may wait
	calmBeforeWait = 4 * time.Second // without faults, before maxWait begins
	minRoom        = 2
)

// Long-running works that are submitted by a team of their own and live until the end of
// the run.
const (
	longRunningTeam     = "web"
	longRunningKey      = "web-secret"
	longRunningWorks    = 6
	longRunningInterval = 4 * time.Second // mean time between two works
	sampleInterval      = 100 * time.Millisecond
)

var longRunningLimit = api.Resources{CpuMillis: 40000, MemoryMb: 1 << 30}

// submitLongRunning submits long-running works until ctx ends.
func (s *soak) submitLongRunning(ctx context.Context) {
	r := s.newRand("long-running works")
	for n := range longRunningWorks {
		w := &submittedWork{
			id: fmt.Sprintf("%08x%08x", 0xff, n), queue: []string{"quotes", "batch"}[r.IntN(2)], kind: "long-running", service: true,
			client: s.longRunningClient, steps: longRunningSteps(r),
		}
		if s.trySubmit(r, w) {
			s.mu.Lock()
			s.livingWorks = append(s.livingWorks, w)
			s.mu.Unlock()
		}
		if !clock.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(longRunningInterval))) {
			return
		}
	}
}

func longRunningSteps(r *rand.Rand) []standin.Step {
	step := taskStep(2+r.IntN(3), 250*(1+r.IntN(3)), 100)
	step.LongRunning = true
	step.MaxPerWorker = 1 + r.IntN(2)
	return []standin.Step{step}
}

// cancelLongRunning cancels the works that live until the end of the run.
func (s *soak) cancelLongRunning() {
	for _, w := range s.livingWorks {
		s.cancel(w)
	}
}

// taskObservation is the state of a long-running task and its surroundings at one time.
type taskObservation struct {
	at         time.Time
	calmSince  time.Time // end of the last fault
	running    bool
	room       int  // tasks like it for which there is room
	underLimit bool // the team uses less than half of its limit
}

// taskWatch follows a long-running task.
type taskWatch struct {
	lastRun   time.Time // initially the time at which its work was stored
	excusedAt time.Time // when it last ran, had no room or was limited
	reported  bool
}

// observe returns for how long the task has had no excuse for not running.
func (w *taskWatch) observe(o taskObservation) time.Duration {
	if o.running {
		w.lastRun = o.at
	}
	if o.running || o.room < minRoom || !o.underLimit {
		w.excusedAt = o.at
	}
	due := w.lastRun.Add(restartTime)
	for _, at := range []time.Time{w.excusedAt, o.calmSince.Add(calmBeforeWait)} {
		if at.After(due) {
			due = at
		}
	}
	return o.at.Sub(due)
}

// watchLongRunning checks until ctx ends that the tasks of long-running works run.
func (s *soak) watchLongRunning(ctx context.Context) {
	watches := map[string]*taskWatch{}
	for clock.Sleep(ctx, sampleInterval) {
		waiting := 0
		running, used := s.platform.Running()
		for _, w := range s.wantedLongRunning() {
			for number, step := range w.steps {
				name := standin.StepName(w.id, number)
				o := taskObservation{
					at: time.Now(), calmSince: s.lastFault(), room: s.platform.Room(name, &step),
					underLimit: 2*used[w.client.Team].CpuMillis < teamLimit(w.client.Team).CpuMillis,
				}
				for index := range step.Count {
					task := standin.TaskName(name, index)
					if watches[task] == nil {
						watches[task] = &taskWatch{lastRun: o.at}
					}
					if o.running = running[task]; !o.running {
						waiting++
					}
					s.observeTask(task, watches[task], o)
				}
			}
		}
		s.waitingLongRunning.Store(int64(waiting))
	}
}

func (s *soak) observeTask(name string, w *taskWatch, o taskObservation) {
	if w.observe(o) <= maxWait || w.reported {
		return
	}
	w.reported = true
	s.addViolation("guarantee of long-running tasks: task %s has not run for %.1f s, with room for %d more and no fault for %.1f s",
		name, o.at.Sub(w.lastRun).Seconds(), o.room, o.at.Sub(o.calmSince).Seconds())
}

// wantedLongRunning returns the stored long-running works that nobody has canceled.
func (s *soak) wantedLongRunning() []*submittedWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*submittedWork
	for _, w := range s.acceptedWorks {
		if w.service && !w.cancelSent {
			out = append(out, w)
		}
	}
	return out
}

// awaitCalm waits, without faults, until all long-running tasks run or until every task
// that does not run in time has been reported.
func (s *soak) awaitCalm() {
	const minCalm = calmBeforeWait
	const maxCalm = restartTime + maxWait + calmBeforeWait
	for {
		calm := time.Since(s.lastFault())
		if calm > maxCalm || calm > minCalm && s.waitingLongRunning.Load() == 0 {
			return
		}
		time.Sleep(sampleInterval)
	}
}

// lastFault returns the time at which the last fault ended, now if one is active.
func (s *soak) lastFault() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsInProgress > 0 {
		return time.Now()
	}
	return s.lastFaultEnd
}

// A task without an excuse must be reported after the bound of the guarantee and not
// earlier, or the check finds nothing, or reports what is allowed.
func TestTaskWatch(t *testing.T) {
	start := time.Now()
	free := taskObservation{calmSince: start.Add(-time.Hour), room: minRoom, underLimit: true}
	for _, c := range []struct {
		name  string
		until time.Duration // for which excused holds
		state func(o taskObservation) taskObservation
		wait  time.Duration // after which the task is reported
	}{
		{"never run", 0, nil, restartTime + maxWait},
		{"ran", 5 * time.Second, func(o taskObservation) taskObservation { o.running = true; return o }, 5*time.Second + restartTime + maxWait},
		{"no room", 8 * time.Second, func(o taskObservation) taskObservation { o.room = 1; return o }, 8*time.Second + maxWait},
		{"over half of the limit", 8 * time.Second, func(o taskObservation) taskObservation { o.underLimit = false; return o }, 8*time.Second + maxWait},
		{"fault", 8 * time.Second, func(o taskObservation) taskObservation { o.calmSince = o.at; return o }, 8*time.Second + calmBeforeWait + maxWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := taskWatch{lastRun: start}
			var faultEnd time.Time
			for elapsed := time.Duration(0); ; elapsed += sampleInterval {
				o := free
				o.at = start.Add(elapsed)
				if faultEnd.After(o.calmSince) {
					o.calmSince = faultEnd
				}
				if elapsed <= c.until && c.state != nil {
					o = c.state(o)
					faultEnd = o.calmSince
				}
				if waited := w.observe(o); waited <= maxWait {
					continue
				}
				if elapsed != c.wait+sampleInterval {
					t.Errorf("reported after %v, want after %v", elapsed, c.wait+sampleInterval)
				}
				return
			}
		})
	}
}
