// Package cell is the decision core of the owner of a cell. It holds the state
// of all works, workers and teams, decides what runs where, and says what has to
// be stored and sent. It does no I/O, reads no clock and starts no goroutines:
// the caller tells it the time and what happened, and carries out its effects.
package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Options are the bounds that the platform sets.
type Options struct {
	Epoch           int           // fencing token of this owner
	TaskLease       time.Duration // lease of the tasks of a worker
	StopTimeout     time.Duration // longest time that a worker needs to stop a task
	GangTimeout     time.Duration // longest time that the first task of a gang waits for the others
	HarmTimeout     time.Duration // longest time that opportunistic tasks may harm a long-running one
	RestoreTime     time.Duration // time a task needs to resume from a checkpoint
	StatusRetention time.Duration // time for which the state of a finished work is kept
	RemoteFactor    float64       // how much longer a task runs away from its data
	// PriorLeasesEnd is when the leases that earlier owners granted are over on
	// every worker, as a boot time.
	PriorLeasesEnd time.Duration
}

// Cell is the control state of a cell. It is not safe for concurrent use.
type Cell struct {
	opts   Options
	config *work.Config

	now  time.Duration // boot time
	wall time.Time     // time of day, for occurrences and records
	seq  uint64        // order of effects and reports

	teams      map[string]*team
	workers    map[string]*worker
	fleet      []*worker // by ID, so that decisions are deterministic
	jobs       map[string]*job
	ready      []*step     // steps with tasks to be placed
	timed      []*job      // works with occurrences that are not due yet
	asks       map[int]ask // calls for advice in flight
	askers     []*asker
	nextAsk    int
	ticketless []*run // recorded runs whose ticket has run out
	learned    map[string]*learnedTime
	waitingIn  map[string]bool // pools in which work found no room in the last pass

	lost        map[lostRun]*run        // runs that were given up and whose end a worker may still list
	finished    map[string]finishedWork // works that ended, until their record may go
	order       []string                // their IDs, by when they ended
	dirty       map[string]*job         // works whose record has to be written
	dirtyList   []*job
	expired     []string // finished works whose record may go
	effects     Effects
	answers     []answer      // answers that wait for a commit
	lossAt      time.Duration // when an answer of a worker was last missed
	stepping    bool          // something has changed since the last pass
	upcomingAt  time.Duration // last search for steps that will soon be ready
	watchedAt   time.Duration // last look at leases, orders and progress
	placedAt    time.Duration // last pass
	lines       []Line
	placed      []*run        // runs placed in this pass that have no log line yet
	describedAt time.Duration // last description of the load
	renewing    bool          // task leases may be extended
	stats       Stats
}

// Stats counts decisions, for metrics.
type Stats struct {
	Refused, Accepted, Completed, Failed, Canceled int
	Started, Done, TaskFailed, Lost, Preempted     int
	Asked, AskFailed, StaleTickets, RoomRefused    int
	ReadySteps, ActiveWorks, BusyWorkers, Workers  int
}

// New returns a cell without works and workers.
func New(o Options) *Cell {
	return &Cell{
		opts:      o,
		config:    &work.Config{},
		teams:     map[string]*team{},
		workers:   map[string]*worker{},
		jobs:      map[string]*job{},
		asks:      map[int]ask{},
		learned:   map[string]*learnedTime{},
		waitingIn: map[string]bool{},
		lost:      map[lostRun]*run{},
		finished:  map[string]finishedWork{},
		dirty:     map[string]*job{},
	}
}

// Advance sets the time. Boot time never goes back.
func (c *Cell) Advance(boot time.Duration, wall time.Time) {
	c.now = max(c.now, boot)
	c.wall = wall
}

// Configure installs a version of the configuration.
func (c *Cell) Configure(config *work.Config) {
	if config.Version < c.config.Version {
		return
	}
	c.config = config
	for name, t := range config.Teams {
		c.team(name).limit = t.Limit
		c.team(name).weight = t.Weight
	}
	for _, w := range c.fleet {
		w.guarded = c.guarded(w.info.Pool)
	}
	c.stepping = true
}

// SetRenewing tells whether task leases may be extended. An owner that has not
// reached the table service for long may have a successor.
func (c *Cell) SetRenewing(renewing bool) { c.renewing = renewing }

// ConfigVersion returns the version of the configuration in force.
func (c *Cell) ConfigVersion() int { return c.config.Version }

func (c *Cell) guarded(pool string) bool {
	p := c.config.Pools[pool]
	return p != nil && p.Guarded
}

// team is the use of the cell by one client account.
type team struct {
	name   string
	weight float64
	limit  work.Resources
	used   work.Resources
	bucket rateBucket
}

func (c *Cell) team(name string) *team {
	t, ok := c.teams[name]
	if !ok {
		t = &team{name: name}
		c.teams[name] = t
	}
	return t
}

// allows reports whether the team may run a task of the size beside the rest. A
// limit of 0 is none.
func (t *team) allows(size work.Resources) bool {
	after := t.used.Plus(size)
	return within(after.CPUMillis, t.limit.CPUMillis) &&
		within(after.MemoryMB, t.limit.MemoryMB) &&
		within(after.Accelerators, t.limit.Accelerators)
}

// allowsPatient reports whether the team may run a task of the size that can wait. A
// team that has more than half of its limit running keeps a part of it for urgent work.
func (t *team) allowsPatient(size work.Resources) bool {
	after := t.used.Plus(size)
	return withinPatient(t.used.CPUMillis, after.CPUMillis, t.limit.CPUMillis) &&
		withinPatient(t.used.MemoryMB, after.MemoryMB, t.limit.MemoryMB)
}

func withinPatient(used, after, limit int) bool {
	return 2*used <= limit || within(after, int(patientShare*float64(limit)))
}

// patientShare is the part of the limit of a team that work which can wait may take.
const patientShare = 0.85

func within(used, limit int) bool { return limit == 0 || used <= limit }

// Effects is what the caller has to carry out.
type Effects struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	Asks   []Ask
	Holds  []Hold
}

// WorkerRef names one life of a worker.
type WorkerRef struct {
	ID         string
	Address    string
	BornUnixMs int
}

// Start orders a worker to start a task.
type Start struct {
	Worker     WorkerRef
	Task       work.TaskID
	Attempt    int
	Payload    string
	LeaseUntil int64 // on the clock of the worker, in milliseconds
	Checkpoint string
	Ticket     string
	Try        int // 0 for the first
}

// Stop orders a worker to stop a task.
type Stop struct {
	Worker  WorkerRef
	Task    string
	Attempt int
	Try     int // 0 for the first
}

// Pace orders a worker to let a task work at a percentage.
type Pace struct {
	Worker  WorkerRef
	Task    string
	Attempt int
	Percent int
}

// Ask asks an adviser, through the node at Asker, which workers may run a step.
type Ask struct {
	ID      int
	Asker   string
	Step    work.StepID
	Workers []string
	Cost    time.Duration // time that the adviser is expected to need
}

// Hold renews the lease of a worker and asks what runs and what has ended there.
type Hold struct {
	Worker       WorkerRef
	Seq          uint64
	LeaseUntil   int64 // on the clock of the worker, in milliseconds; 0 for no renewal
	AckedThrough int
	Wait         time.Duration
}

// TakeEffects returns the effects since the last call.
func (c *Cell) TakeEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

// Stats returns the counters.
func (c *Cell) Stats() Stats {
	s := c.stats
	s.ReadySteps, s.ActiveWorks, s.Workers = len(c.ready), len(c.jobs), len(c.fleet)
	for _, w := range c.fleet {
		if len(w.runs) > 0 {
			s.BusyWorkers++
		}
	}
	return s
}

// nextSeq returns a number higher than all before.
func (c *Cell) nextSeq() uint64 {
	c.seq++
	return c.seq
}

// states of a work that has ended.
func ended(s api.WorkState) bool {
	return s == api.WorkStateCompleted || s == api.WorkStateFailed || s == api.WorkStateCanceled
}
