// Package cell is the scheduler core of the owner of a cell. It holds the state of
// all works, workers and teams, places tasks, and emits the rows to store and the
// commands to send. It does no I/O, reads no clock and starts no goroutines: the
// caller passes in the time and all events, and carries out the effects.
//
// A work has occurrences, an occurrence has steps and a step has tasks. A run is one
// attempt of a task on a worker.
package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/packing"
	"github.com/endivehill/endivehill/internal/runtimes"
	"github.com/endivehill/endivehill/internal/work"
)

// Options configure a cell. The time bounds are set by the platform.
type Options struct {
	FirstToken      int             // lowest fencing token of this owner
	LastToken       int             // highest one; 0 for no limit
	Address         string          // of the node of this owner
	TaskLease       time.Duration   // lease of the tasks of a worker
	MaxTaskLease    time.Duration   // longest lease that a worker takes
	StopTimeout     time.Duration   // longest time that a worker needs to stop a task
	GangTimeout     time.Duration   // longest time that the first task of a gang waits for the others to start
	SlowdownTimeout time.Duration   // longest time that opportunistic tasks may slow down a long-running one
	RestoreTime     time.Duration   // time a task needs to resume from a checkpoint
	StatusRetention time.Duration   // time for which the state of a finished work is kept
	MaxRowBytes     int             // longest value of a row of the table service
	RemoteFactor    float64         // factor by which a task takes longer on a worker without its data
	RunTimes        *runtimes.Model // run times learned by earlier owners; nil for none
	// PriorGrantsEnd is the boot time from which no call of an earlier owner carries a task
	// lease, and PriorLeasesEnd the one at which those leases have expired, if they are held
	// on the clock on which they were granted.
	PriorGrantsEnd time.Duration
	PriorLeasesEnd time.Duration
	PriorOwnerLost bool // the earlier owner has not handed the cell over
	// RecordedLeaseEnds holds the boot times at which all leases of some incarnations have expired,
	// by the stored row of lease ends. LeaseEndsUnknown tells that the row can't be read and other
	// owners may rely on it.
	RecordedLeaseEnds map[Incarnation]time.Duration
	LeaseEndsUnknown  bool
	// FirstContactEnd is the boot time before which a worker that has not answered yet, or is
	// not listed yet, does not count as unresponsive. It may have ends to report.
	FirstContactEnd time.Duration
	// MaxEvacuationsAge is the age of the last confirmation of the requests for evacuation up to
	// which tasks are placed and started, see SetEvacuatedDomains; 0 for no limit.
	MaxEvacuationsAge time.Duration
}

// Cell is the state of a cell. It is not safe for concurrent use.
type Cell struct {
	opts   Options
	config *work.Config

	now     time.Duration // boot time
	beganAt time.Duration // boot time of the start of the tenure
	wall    time.Time     // time of day, for occurrences and records
	seq     uint64        // last sequence number of a poll or confirmation

	teams            map[string]*team
	workers          map[string]*worker
	fleet            []*worker // sorted by ID, so that decisions are deterministic
	works            map[string]*activeWork
	ready            []*step                   // steps with tasks that wait for placement
	futureWorks      []*activeWork             // works with occurrences that are not due
	adviceCalls      map[int]pendingAdviceCall // calls for advice in flight
	adviceNodes      []*adviceNode
	stoppingNodes    map[string]time.Duration // see SetStoppingNodes
	adviceOrder      []adviceCandidate        // of this pass
	heldAdvice       []*InheritedAdvice       // until the first list of workers
	heldCalls        []AdviceCallInFlight     // the same, see applyHeldCalls
	inheritedUse     InheritedAdviceUse
	shortCallsUsedAt time.Duration  // last need for a short call
	shortCallDue     bool           // a ready step needs a short call now
	removals         int            // workers removed so far
	removedTokens    map[string]int // last token of workers that were removed, by ID
	tokensRunOut     bool           // see TokensRunOut
	fleetListed      bool           // a list of workers was received
	lastCallID       int
	awaitingTicket   []*run                   // recorded runs whose ticket has expired
	heldStarts       []*run                   // recorded runs whose start is held, see startRecorded
	overdueServedAt  map[string]time.Duration // last call for an overdue step, by pool
	adviceDemand     adviceDemand
	adviceUse        map[string]*adviceUse // since the last log of the load, by queue
	overdueBalance   time.Duration         // advice time that overdue steps may use, see overdue.go
	overdueBalanceAt time.Duration         // last update of overdueBalance
	runTimes         *runtimes.Model
	demands          map[string]*packing.Demand // by pool
	saturatedPools   map[string]bool            // pools without room for all waiting tasks in the last pass

	lostRuns        map[lostRunKey]*run     // runs declared lost whose end a worker may still report
	finished        map[string]finishedWork // finished works, until their record is deleted
	finishedOrder   []string                // their IDs in the order of their ends
	dirty           map[string]*activeWork  // works with unwritten changes of their record
	dirtyList       []*activeWork           // the same works in the order in which they are written
	singleCommits   int                     // works that are still committed one by one, see CommitRejected
	longestWorkerID int                     // length of the longest ID of a worker so far
	expired         []string                // finished works whose record is to be deleted
	effects         Effects
	answers         []pendingAnswer // answers to callers that wait for a commit
	changed         bool            // the state has changed since the last pass
	prefetchedAt    time.Duration   // last search for steps to request advice for in advance
	timersCheckedAt time.Duration   // last check of leases, commands and progress
	lastPassAt      time.Duration   // last scheduling pass
	logLines        []LogLine
	unloggedRuns    []*run        // runs placed in this pass and not logged yet
	loadLoggedAt    time.Duration // last log of the load
	leaseLimit      time.Duration // no task lease is granted beyond this boot time
	callAllowance   time.Duration // see SetCallAllowance
	evacuations     evacuations
	leaseEnds       leaseEndsRow
	stats           Stats
}

// Stats holds the counters and gauges for metrics.
type Stats struct {
	Refused, Accepted, Completed, Failed, Canceled                  int // works
	Started, Done, TaskFailed, Preempted                            int // runs; Done counts tasks
	Lost                                                            Losses
	OverduePolls, OverdueStarts, LateReports, InvalidReports        int // calls to workers
	AdviceCalls, AdviceFailures, StaleTickets, StartsRefusedForRoom int
	ReadySteps, ActiveWorks, BusyWorkers, Workers, Unresponsive     int
	LongestRoundTrip                                                time.Duration  // of a worker
	LongestAbsence                                                  time.Duration  // time for which a long-running task has had no active run
	StoppedForEvacuation                                            int            // runs stopped, or not started, because their failure domain is evacuated
	EvacuatedRuns                                                   map[string]int // runs left in each evacuated failure domain
}

// defaultMaxRowBytes is used if Options have no limit.
const defaultMaxRowBytes = 64 << 10

// New returns an empty cell.
func New(o Options) *Cell {
	o.MaxTaskLease = max(o.MaxTaskLease, o.TaskLease)
	if o.MaxRowBytes == 0 {
		o.MaxRowBytes = defaultMaxRowBytes
	}
	if o.RunTimes == nil {
		o.RunTimes = runtimes.New()
	}
	return &Cell{
		opts:            o,
		config:          &work.Config{},
		teams:           map[string]*team{},
		workers:         map[string]*worker{},
		works:           map[string]*activeWork{},
		adviceCalls:     map[int]pendingAdviceCall{},
		runTimes:        o.RunTimes,
		demands:         map[string]*packing.Demand{},
		overdueServedAt: map[string]time.Duration{},
		adviceUse:       map[string]*adviceUse{},
		saturatedPools:  map[string]bool{},
		lostRuns:        map[lostRunKey]*run{},
		removedTokens:   map[string]int{},
		finished:        map[string]finishedWork{},
		dirty:           map[string]*activeWork{},
		evacuations:     evacuations{confirmedAt: NeverConfirmed},
		leaseEnds:       newLeaseEndsRow(&o),
	}
}

// Advance sets the time. Boot time never decreases.
func (c *Cell) Advance(boot time.Duration, wall time.Time) {
	if c.beganAt == 0 {
		c.beganAt = boot
	}
	c.now = max(c.now, boot)
	c.wall = wall
}

// Configure applies a version of the configuration, unless it is older than the
// current one.
func (c *Cell) Configure(config *work.Config) {
	if config.Version < c.config.Version {
		return
	}
	c.config = config
	for name, t := range config.Teams {
		c.team(name).limit = t.Limit
		c.team(name).submitRate = t.SubmitRate
	}
	for _, w := range c.fleet {
		w.rejectsOverload = c.poolRejectsOverload(w.info.Pool)
	}
	for _, aw := range c.works {
		if q := config.Queues[aw.spec.Queue]; q != nil {
			aw.queue = q
		}
	}
	c.changed = true
}

// SetLeaseLimit sets the boot time beyond which no task lease is granted. An owner that has
// lost contact with the table service may have been replaced, and the next owner waits for
// the end of its leases.
func (c *Cell) SetLeaseLimit(end time.Duration) { c.leaseLimit = end }

// ConfigVersion returns the current version of the configuration.
func (c *Cell) ConfigVersion() int { return c.config.Version }

func (c *Cell) poolRejectsOverload(pool string) bool {
	p := c.config.Pools[pool]
	return p != nil && p.RejectsOverload
}

// team holds the quota and usage of a client account.
type team struct {
	name       string
	submitRate float64 // submissions per second beyond which works have a lower rank; 0 for no limit
	limit      work.Resources
	used       work.Resources
	bucket     tokenBucket
}

func (c *Cell) team(name string) *team {
	t, ok := c.teams[name]
	if !ok {
		t = &team{name: name}
		c.teams[name] = t
	}
	return t
}

// allows reports whether the limit of the team permits this additional usage. A limit
// of 0 means unlimited.
func (t *team) allows(size work.Resources) bool {
	after := t.used.Plus(size)
	return withinLimit(after.CPUMillis, t.limit.CPUMillis) &&
		withinLimit(after.MemoryMB, t.limit.MemoryMB) &&
		withinLimit(after.Accelerators, t.limit.Accelerators)
}

// allowsDeferrable reports whether the limit of the team permits this additional usage
// for deferrable work. A team that uses more than half of its limit keeps a part of it
// free for urgent work.
func (t *team) allowsDeferrable(size work.Resources) bool {
	after := t.used.Plus(size)
	return withinDeferrable(t.used.CPUMillis, after.CPUMillis, t.limit.CPUMillis) &&
		withinDeferrable(t.used.MemoryMB, after.MemoryMB, t.limit.MemoryMB) &&
		withinDeferrable(t.used.Accelerators, after.Accelerators, t.limit.Accelerators)
}

func withinDeferrable(used, after, limit int) bool {
	return 2*used <= limit || withinLimit(after, int(deferrableLimitShare*float64(limit)))
}

// deferrableLimitShare is the share of a team's limit up to which deferrable work is
// placed.
const deferrableLimitShare = 0.85

func withinLimit(used, limit int) bool { return limit == 0 || used <= limit }

// Effects are the calls that the caller has to make.
type Effects struct {
	Starts      []Start
	Stops       []Stop
	Throttles   []Throttle
	AdviceCalls []AdviceCall
	Polls       []Poll
}

// WorkerRef identifies an incarnation of a worker.
type WorkerRef struct {
	ID                string
	Address           string
	IncarnationUnixMs int
}

// Start tells a worker to start a run.
type Start struct {
	Worker     WorkerRef
	Task       work.TaskID
	Attempt    int
	Payload    string
	Token      int   // fencing token
	LeaseUntil int64 // on the clock of the worker, in milliseconds
	Checkpoint string
	Ticket     string
	Try        int // 0 for the first try
	// OverdueAfter is the time after which the core no longer waits for an answer, and
	// Timeout the one until which an answer is of use.
	OverdueAfter time.Duration
	Timeout      time.Duration
	ConnWait     time.Duration // longest wait for a connection in use
	SendBy       time.Duration // boot time after which it must not be sent, see startLimit; 0 for none
	sentAt       time.Duration
}

// Stop tells a worker to stop a run.
type Stop struct {
	Worker  WorkerRef
	Token   int // fencing token
	Task    string
	Attempt int
	Try     int // 0 for the first try
	Timeout time.Duration
}

// Throttle tells a worker to throttle a run to a percentage of full speed.
type Throttle struct {
	Worker  WorkerRef
	Token   int // fencing token
	Task    string
	Attempt int
	Percent int
	Timeout time.Duration
}

// AdviceCall is a call to the adviser, through the node with the address Node, that asks
// which of the workers may run a step.
type AdviceCall struct {
	ID           int
	Node         string
	Step         work.StepID
	Workers      []string
	ExpectedTime time.Duration // expected time until the answer
}

// Poll is a long poll of a worker: it renews the lease, acknowledges the ends of runs
// and asks for a Report.
type Poll struct {
	Worker       WorkerRef
	Seq          uint64
	Token        int   // fencing token
	LeaseUntil   int64 // on the clock of the worker, in milliseconds; 0: not renewed
	AckedThrough int   // 0: no end is acknowledged
	Wait         time.Duration
	OverdueAfter time.Duration // as in Start
	Timeout      time.Duration // as in Start
}

// DrainEffects returns and clears the effects since the last call.
func (c *Cell) DrainEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

// Stats returns the current counters and gauges.
func (c *Cell) Stats() Stats {
	s := c.stats
	s.ReadySteps, s.ActiveWorks, s.Workers = len(c.ready), len(c.works), len(c.fleet)
	s.LongestAbsence = c.longestLongRunningAbsence()
	s.EvacuatedRuns = c.evacuatedRuns()
	for _, w := range c.fleet {
		if len(w.runs) > 0 {
			s.BusyWorkers++
		}
		if w.unresponsiveSince != 0 {
			s.Unresponsive++
		}
		s.LongestRoundTrip = max(s.LongestRoundTrip, w.roundTrip.smoothed)
	}
	return s
}

// nextSeq returns the next sequence number.
func (c *Cell) nextSeq() uint64 {
	c.seq++
	return c.seq
}

// isTerminal reports whether a work in this state has ended.
func isTerminal(s api.WorkState) bool {
	return s == api.WorkStateCompleted || s == api.WorkStateFailed || s == api.WorkStateCanceled
}
