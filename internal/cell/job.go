package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// job is an accepted work.
type job struct {
	spec        *api.WorkSpec
	queue       *work.Queue // as it was when the work was accepted or restored
	team        *team
	state       api.WorkState
	acceptedAt  time.Duration // boot time
	acceptedMs  int64         // Unix time in milliseconds
	stored      bool          // the record has been written
	dirtyAt     time.Duration // when its record began to wait to be written
	inBatch     bool          // a commit with the record is on its way
	storedState api.WorkState // state in the record
	started     bool          // a task has been placed
	runs        int           // runs that occupy a worker
	open        int           // occurrences that are not done, those not due included
	occs        []*occurrence // due occurrences that are not done
	doneOccs    map[int]bool  // occurrences that are done, while others are not
	nextOcc     int           // first occurrence that is not due
	excess      bool          // beyond the rate that the team may expect
	failedOn    []string      // workers on which a run has failed
	anyDone     bool          // a run has ended as done
	finishedAt  time.Time
}

// occurrence is one repetition of the steps of a work; a work that is not
// repeated has only number 0.
type occurrence struct {
	number   int
	steps    []*step
	open     int           // steps that are not done
	due      time.Duration // boot time at which it was due
	deadline time.Duration // boot time by which it should be done
	latest   time.Duration // boot time after which being done is of no more use
}

// step is one step of an occurrence.
type step struct {
	job           *job
	occ           *occurrence
	number        int
	spec          *api.StepSpec
	size          work.Resources
	tasks         []task
	open          int // tasks that are not done
	waits         int // earlier steps that are not done
	waiting       int // tasks in phase waiting
	inReady       bool
	key           orderKey
	predicted     time.Duration // run time of a task
	predictedAt   time.Duration
	triedAt       time.Duration // last pass in which it found no room
	readyAt       time.Duration // when its tasks could first be placed
	advisedAt     time.Duration // first answer of the adviser
	placedAt      time.Duration // first and last placement of a task
	lastPlacedAt  time.Duration
	longest       time.Duration // run time of its longest task
	path          time.Duration // estimated time from the start of the step to the end of the occurrence
	advice        stepAdvice
	claims        []claim
	failures      int           // failed attempts of a gang
	failedAttempt int           // last attempt of a gang that has failed
	preemptAt     time.Duration // no preemption for the step before this time
}

type taskPhase int

const (
	taskWaiting taskPhase = iota // may be placed once the step is ready
	taskPlaced                   // has a run
	taskDone
)

// task is one task of a step.
type task struct {
	step       *step
	index      int
	phase      taskPhase
	attempt    int // highest attempt number given
	failures   int
	checkpoint string
	saved      int    // percentage of the work that the checkpoint covers
	runs       []*run // more than one while copies run
	bad        []*worker
	notBefore  time.Duration // boot time before which it is not placed again
}

type runPhase int

const (
	runRecording runPhase = iota // its record is being written, the start is not sent yet
	runOrdered                   // the start was sent
	runActive                    // the worker has it
	runStopping                  // was told to stop
)

// run is an attempt of a task on a worker.
type run struct {
	task       *task
	worker     *worker
	attempt    int
	name       string // of the task, as workers know it
	phase      runPhase
	size       work.Resources // what it occupies on the worker
	confirmed  uint64         // sequence number after which a report must show it; 0 while not known to be there
	placedAt   time.Duration
	activeAt   time.Duration
	movedAt    time.Duration // when its progress last changed
	percent    int           // work done; 100 for a long-running task at work
	usage      int           // tail latency in ms of a long-running task, else cpu millis in use
	saved      string        // newest checkpoint
	base       int           // percent at its start
	ticket     string
	checkpoint string // that it starts from
	pace       int    // percent that it was told to work at
	orderTry   int
	retryAt    time.Duration // when the start is sent again; 0 for never
	stopTry    int
	stopAt     time.Duration // when the last stop was sent
	reason     string        // why it is stopped
	discard    bool          // its end changes nothing for the task
	carried    bool          // ordered in an earlier life of its worker
	restored   bool          // from the record of an earlier owner, not yet seen on its worker
	reported   uint64        // last report that listed it
	ended      bool
}

func (t *task) id() work.TaskID {
	return work.TaskID{StepID: t.step.id(), Index: t.index}
}

func (s *step) id() work.StepID {
	return work.StepID{Work: s.job.spec.Id, Occurrence: s.occ.number, Step: s.number}
}

// newJob builds the state of a work whose occurrences are all to come.
func newJob(spec *api.WorkSpec, queue *work.Queue, t *team) *job {
	j := &job{spec: spec, queue: queue, team: t, state: api.WorkStateQueued, open: max(1, spec.RepeatCount)}
	return j
}

// addOccurrence builds the steps of an occurrence that is due.
func (c *Cell) addOccurrence(j *job, number int, due time.Duration) *occurrence {
	o := &occurrence{number: number, due: due, open: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		o.steps = append(o.steps, newStep(j, o, i))
	}
	c.setDeadline(j, o)
	j.occs = append(j.occs, o)
	return o
}

func newStep(j *job, o *occurrence, number int) *step {
	spec := &j.spec.Steps[number]
	s := &step{
		job: j, occ: o, number: number, spec: spec,
		size:    work.ResourcesOf(spec.Size),
		tasks:   make([]task, spec.Count),
		open:    spec.Count,
		waiting: spec.Count,
		waits:   len(spec.After),
	}
	for i := range s.tasks {
		s.tasks[i] = task{step: s, index: i}
	}
	return s
}

// occupies returns what a task of the step takes on a worker. An opportunistic
// task is not counted against the processors of its worker.
func (s *step) occupies() work.Resources {
	size := s.size
	if s.spec.Opportunistic {
		size.CPUMillis = 0
	}
	return size
}

// occurrence returns a due occurrence that is not done.
func (j *job) occurrence(number int) *occurrence {
	for _, o := range j.occs {
		if o.number == number {
			return o
		}
	}
	return nil
}

// makeReady lists a step whose tasks may be placed.
func (c *Cell) makeReady(s *step) {
	if s.inReady || s.waits > 0 || s.waiting == 0 || ended(s.job.state) {
		return
	}
	s.inReady = true
	if s.readyAt == 0 {
		s.readyAt = c.now
	}
	c.ready = append(c.ready, s)
	c.stepping = true
}

// mark notes that the record of a work has to be written.
func (c *Cell) mark(j *job) {
	if _, ok := c.dirty[j.spec.Id]; ok {
		return
	}
	j.dirtyAt = c.now
	c.dirty[j.spec.Id] = j
	c.dirtyList = append(c.dirtyList, j)
}

// finishTask notes that a task is done and what follows from it.
func (c *Cell) finishTask(t *task) {
	if t.phase == taskDone {
		return
	}
	s := t.step
	if t.phase == taskWaiting {
		s.waiting--
	}
	t.phase = taskDone
	s.open--
	c.mark(s.job)
	c.stats.Done++
	for _, r := range t.runs {
		r.discard = true
		if !s.spec.Gang {
			c.stopRun(r, "another copy of the task is done")
		}
	}
	if s.open == 0 {
		c.finishStep(s)
	}
}

func (c *Cell) finishStep(s *step) {
	o := s.occ
	o.open--
	c.logStepDone(s)
	c.learnStep(s)
	for _, next := range o.steps {
		for _, a := range next.spec.After {
			if a == s.number {
				next.waits--
			}
		}
		c.makeReady(next)
	}
	if o.open == 0 {
		c.finishOccurrence(s.job, o)
	}
}

func (c *Cell) finishOccurrence(j *job, o *occurrence) {
	for i := range j.occs {
		if j.occs[i] == o {
			j.occs = append(j.occs[:i], j.occs[i+1:]...)
			break
		}
	}
	c.logOccurrence(j, o)
	if j.spec.RepeatCount > 1 {
		if j.doneOccs == nil {
			j.doneOccs = map[int]bool{}
		}
		j.doneOccs[o.number] = true
	}
	j.open--
	if j.open == 0 {
		c.endJob(j, api.WorkStateCompleted)
	}
}

// endJob gives a work its final state. What still runs of it is stopped once the
// state is stored.
func (c *Cell) endJob(j *job, state api.WorkState) {
	if ended(j.state) {
		return
	}
	j.state = state
	j.finishedAt = c.wall
	c.logEnded(j)
	c.mark(j)
	switch state {
	case api.WorkStateCompleted:
		c.stats.Completed++
	case api.WorkStateFailed:
		c.stats.Failed++
	case api.WorkStateCanceled:
		c.stats.Canceled++
	}
}

// failJob fails a work and stops what runs of it.
func (c *Cell) failJob(j *job) {
	c.endJob(j, api.WorkStateFailed)
	c.stopAll(j, "the work has failed")
}

func (c *Cell) stopAll(j *job, reason string) {
	for _, o := range j.occs {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range s.tasks[i].runs {
					c.stopRun(r, reason)
				}
			}
		}
	}
}
