package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// activeWork is the state of an accepted work that is not finished.
type activeWork struct {
	spec                *api.WorkSpec
	queue               *work.Queue // its current settings, or the last ones if it has been removed
	team                *team
	state               api.WorkState
	acceptedAt          time.Duration // boot time
	acceptedMs          int64         // Unix time in milliseconds
	stored              bool          // the record has been written
	dirtyAt             time.Duration // time of the oldest unwritten change
	inBatch             bool          // a commit with the record is in flight
	recordNotBefore     time.Duration // the table service has rejected the record; it is not written before
	recordBytes         int           // size of the progress rows, with the runs placed since they were written
	storedParts         int           // progress rows that the table service may have
	startedOccurrences  int           // occurrences of which a task has been placed, and that are not done
	storedState         api.WorkState // state in the record
	started             bool          // a worker has confirmed the start of a task
	placedBefore        bool          // an earlier owner has placed a task
	runs                int           // runs that occupy a worker
	unfinished          int           // occurrences that are not done, including those that are not due
	occurrences         []*occurrence // due occurrences that are not done
	doneOccurrences     map[int]bool  // done occurrences, by number
	nextOccurrence      int           // first occurrence that is not due
	recordedOccurrences int           // an earlier owner has begun occurrences below this number
	beyondRate          bool          // submitted beyond the rate of the team
	failedOn            []string      // workers on which a run has failed
	anyRunDone          bool          // at least one run has ended as done
	finishedAt          time.Time
}

// occurrence is one repetition of the steps of a work; a work that is not
// repeated has only number 0.
type occurrence struct {
	number      int
	steps       []*step
	unfinished  int           // steps that are not done
	started     bool          // a task has been placed
	due         time.Duration // boot time of the acceptance or the scheduled start
	deadline    time.Duration // boot time by which it should be done (objective)
	usefulUntil time.Duration // boot time after which its result is of no use
}

// step is one step of an occurrence.
type step struct {
	work                *activeWork
	occurrence          *occurrence
	number              int
	spec                *api.StepSpec
	size                work.Resources
	tasks               []task
	unfinished          int // tasks that are not done
	pendingDependencies int // steps in spec.After that are not done
	waiting             int // tasks in phase taskWaiting
	inReadyList         bool
	orderKey            orderKey
	predictions         stepPredictions
	placement           stepPlacement
	noRoomAt            time.Duration // last pass that left tasks waiting for room
	roomReservedAt      time.Duration // last pass that kept room for it ahead of the order
	readyAt             time.Duration // when its tasks could first be placed
	advisedAt           time.Duration // first answer of the adviser
	firstPlacedAt       time.Duration // first placement of a task
	lastPlacedAt        time.Duration
	longestRun          time.Duration // run time of its longest task
	untimedTasks        bool          // the run time of a done task is not known
	criticalPath        time.Duration // estimated time from the start of the step to the end of the occurrence
	advice              stepAdvice
	nominations         []nomination
	failures            int           // failed attempts of a gang
	failedAttempt       int           // last attempt of a gang that counts as failed; 0 for none
	nextPreemptAt       time.Duration // earliest time of the next preemption for the step
	starved             bool          // a long-running task of it waits for too long, see starved.go
}

type taskPhase int

const (
	taskWaiting taskPhase = iota // may be placed once the step is ready
	taskPlaced                   // has at least one run
	taskDone
)

// task is one task of a step.
type task struct {
	step              *step
	index             int
	phase             taskPhase
	attempt           int // highest attempt number so far
	failures          int
	checkpoint        string
	checkpointPercent int    // progress that the checkpoint covers
	runs              []*run // more than one if a speculative copy runs
	avoidWorkers      []*worker
	notBefore         time.Duration // boot time of the earliest next placement
	lastActiveAt      time.Duration // end of its last active run, see restoreInactive; 0 before the first run
}

type runPhase int

const (
	runRecording runPhase = iota // waits for the record to be written; the start is not sent
	runStarting                  // the start was sent; not confirmed
	runActive                    // the worker has confirmed the run
	runStopping                  // a stop was sent; waits for the end
)

// run is an attempt of a task on a worker.
type run struct {
	task              *task
	worker            *worker
	incarnationUnixMs int // of the worker, as in the record
	attempt           int
	taskName          string // ID of the task, as in calls to workers
	phase             runPhase
	size              work.Resources // resources that it takes on the worker, see step.sizeOnWorker
	confirmedSeq      uint64         // reports to polls sent after this must list the run; 0 while not confirmed
	placedAt          time.Duration
	activeAt          time.Duration
	progressAt        time.Duration // when its progress last changed
	percent           int           // progress; 100 for a long-running task that is available
	usage             int           // tail latency in ms of a long-running task, else cpu millis in use
	newestCheckpoint  string        // reported while it runs
	startPercent      int           // progress that startCheckpoint covers
	ticket            string
	startCheckpoint   string // checkpoint from which it starts
	throttlePercent   int    // throttle sent to the worker, in percent of full speed
	startRetries      int
	unsentStarts      int           // tries of the start that were not sent
	startSentAt       time.Duration // when the last try of the start was sent; 0 once it is answered, overdue or has failed
	startedHere       bool          // this owner has sent its start
	inDoubtSeq        uint64        // only a report of a later poll shows that no later incarnation has started it; 0 if that is known
	startRetryAt      time.Duration // time of the next try of the start; 0 for none
	stopsSent         int
	stopSentAt        time.Duration // when the last stop was sent
	stopReason        string        // logged with the first stop
	redundant         bool          // the task is done already
	carriedOver       bool          // its start was sent to an earlier incarnation of the worker
	restored          bool          // an earlier owner has recorded it, and its worker has not restarted since
	awaitsReport      bool          // the next report of its worker decides whether it runs there
	reportedSeq       uint64        // sequence number of the last poll whose report listed it
	ended             bool
}

func (t *task) id() work.TaskID {
	return work.TaskID{StepID: t.step.id(), Index: t.index}
}

func (s *step) id() work.StepID {
	return work.StepID{Work: s.work.spec.Id, Occurrence: s.occurrence.number, Step: s.number}
}

// newActiveWork returns a work without occurrences.
func newActiveWork(spec *api.WorkSpec, queue *work.Queue, t *team) *activeWork {
	aw := &activeWork{spec: spec, queue: queue, team: t, state: api.WorkStateQueued, unfinished: max(1, spec.RepeatCount)}
	return aw
}

// addOccurrence adds an occurrence that is due, with its steps and deadline.
func (c *Cell) addOccurrence(aw *activeWork, number int, due time.Duration) *occurrence {
	o := &occurrence{number: number, due: due, unfinished: len(aw.spec.Steps)}
	for i := range aw.spec.Steps {
		o.steps = append(o.steps, newStep(aw, o, i))
	}
	c.setDeadline(aw, o)
	aw.occurrences = append(aw.occurrences, o)
	return o
}

func newStep(aw *activeWork, o *occurrence, number int) *step {
	spec := &aw.spec.Steps[number]
	s := &step{
		work: aw, occurrence: o, number: number, spec: spec,
		size:                work.ResourcesOf(spec.Size),
		tasks:               make([]task, spec.Count),
		unfinished:          spec.Count,
		waiting:             spec.Count,
		pendingDependencies: len(spec.After),
	}
	for i := range s.tasks {
		s.tasks[i] = task{step: s, index: i}
	}
	return s
}

// sizeOnWorker returns the resources that a task of the step takes on a worker. The CPU of
// an opportunistic task is not counted.
func (s *step) sizeOnWorker() work.Resources {
	size := s.size
	if s.spec.Opportunistic {
		size.CPUMillis = 0
	}
	return size
}

// occurrence returns the due, unfinished occurrence with the number, or nil.
func (aw *activeWork) occurrence(number int) *occurrence {
	for _, o := range aw.occurrences {
		if o.number == number {
			return o
		}
	}
	return nil
}

// task returns a task of an occurrence that is known, or nil.
func (aw *activeWork) task(occurrence, step, index int) *task {
	o := aw.occurrence(occurrence)
	if o == nil || step >= len(o.steps) || index >= len(o.steps[step].tasks) {
		return nil
	}
	return &o.steps[step].tasks[index]
}

// makeReady adds a step to the ready list if it has waiting tasks and the steps that it
// depends on are done.
func (c *Cell) makeReady(s *step) {
	if s.inReadyList || s.pendingDependencies > 0 || s.waiting == 0 || isTerminal(s.work.state) {
		return
	}
	s.inReadyList = true
	if s.readyAt == 0 {
		s.readyAt = c.now
		c.observeDemand(s)
	}
	c.ready = append(c.ready, s)
	c.changed = true
}

// markDirty adds a work to those whose record is written by the next commits.
func (c *Cell) markDirty(aw *activeWork) {
	if _, ok := c.dirty[aw.spec.Id]; ok {
		return
	}
	aw.dirtyAt = c.now
	c.dirty[aw.spec.Id] = aw
	c.dirtyList = append(c.dirtyList, aw)
}

// finishTask marks a task as done, stops its other runs unless it is in a gang, and
// finishes the step with its last task.
func (c *Cell) finishTask(t *task) {
	if t.phase == taskDone {
		return
	}
	s := t.step
	if t.phase == taskWaiting {
		s.waiting--
	}
	t.phase = taskDone
	s.unfinished--
	c.markDirty(s.work)
	c.stats.Done++
	for _, r := range t.runs {
		r.redundant = true
		if !s.spec.Gang {
			c.stopRun(r, "another copy of the task is done")
		}
	}
	if s.unfinished == 0 {
		c.finishStep(s)
	}
}

// finishStep makes the steps ready for which this step was the last unfinished
// dependency, and finishes the occurrence with its last step.
func (c *Cell) finishStep(s *step) {
	o := s.occurrence
	o.unfinished--
	c.logStepDone(s)
	c.recordStepTime(s)
	for _, next := range o.steps {
		for _, a := range next.spec.After {
			if a == s.number {
				next.pendingDependencies--
			}
		}
		c.makeReady(next)
	}
	if o.unfinished == 0 {
		c.finishOccurrence(s.work, o)
	}
}

// finishOccurrence removes a done occurrence, and completes the work with its last one.
func (c *Cell) finishOccurrence(aw *activeWork, o *occurrence) {
	for i := range aw.occurrences {
		if aw.occurrences[i] == o {
			aw.occurrences = append(aw.occurrences[:i], aw.occurrences[i+1:]...)
			break
		}
	}
	if o.started {
		aw.startedOccurrences--
	}
	c.logOccurrence(aw, o)
	if aw.spec.RepeatCount > 1 {
		if aw.doneOccurrences == nil {
			aw.doneOccurrences = map[int]bool{}
		}
		aw.doneOccurrences[o.number] = true
	}
	aw.unfinished--
	if aw.unfinished == 0 {
		c.endWork(aw, api.WorkStateCompleted)
	}
}

// endWork sets the final state of a work. The runs of a canceled work are stopped once
// that state is stored.
func (c *Cell) endWork(aw *activeWork, state api.WorkState) {
	if isTerminal(aw.state) {
		return
	}
	aw.state = state
	aw.finishedAt = c.wall
	c.logEnded(aw)
	c.markDirty(aw)
	switch state {
	case api.WorkStateCompleted:
		c.stats.Completed++
	case api.WorkStateFailed:
		c.stats.Failed++
	case api.WorkStateCanceled:
		c.stats.Canceled++
	}
}

// failWork fails a work and stops its runs.
func (c *Cell) failWork(aw *activeWork) {
	c.endWork(aw, api.WorkStateFailed)
	c.stopRuns(aw, "the work has failed")
}

func (c *Cell) stopRuns(aw *activeWork, reason string) {
	for _, o := range aw.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range s.tasks[i].runs {
					c.stopRun(r, reason)
				}
			}
		}
	}
}
