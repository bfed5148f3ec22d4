package scheduler

import (
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Cell is the whole decision state of one worker partition. It is not safe for
// concurrent use.
type Cell struct {
	policy Policy
	teams  map[string]*team
	order  []*team // by name, so that iteration is deterministic
	vms    map[string]*vm
	fleet  []*vm // by ID
	jobs   map[string]*job
	total  vec // capacity of the live VMs

	classes      []capacityClass // different VM capacities of the fleet
	fleetVersion int             // raised when the fleet or a limit changes
	checkedFleet int             // fleetVersion of the last check for infeasible jobs
	unfitJobs    int             // jobs that the last check found infeasible
	index        [kinds]*vmIndex
	domains      map[string]*domain
	domainOrder  []*domain

	seq          int64 // order of submission
	timers       timerHeap
	learned      map[queueKey]*learned
	actions      []action
	leaving      []*vm // leaving VMs by ID
	parked       [levels][]parked
	budgetParked int   // groups parked for budget
	parkedFleet  int   // fleetVersion of the last check for groups to wake
	relearned    bool  // learned sizes of a team have changed
	freed        []*vm // VMs with more room than before
	gangsMayFit  bool  // VMs had more room since gangs were last tried
	trying       bool  // room is taken and given back on trial
	passes       int64
	planCursor   int // VM at which the last plan of a reservation ended
	sweptAt      time.Time
	entitledAt   time.Time
	crowded      []*vm // VMs that may hold more than their capacity
	searches     int64 // searches for tasks to preempt
	reservations [reservations]*reservation
	control      []*job // jobs with tasks to be stopped
	failing      []failure
	pass         passState
}

// taskState is the state of a task within the core.
type taskState int

const (
	taskPending  taskState = iota // may be placed
	taskWaiting                   // waits for a timer or for the rest of its gang
	taskPlaced                    // held on a VM, not yet known to run
	taskRunning                   // runs
	taskStopping                  // was told to stop and is still held
	taskHeld                      // may still run on a VM that cannot be fenced
	taskDone
	taskFailed
	taskCanceled
)

// task is one task of a job.
type task struct {
	id              TaskID
	job             *job
	index           int
	state           taskState
	vm              *vm     // nil unless held there
	vmPos           int     // position in vm.tasks
	attempt         int     // last attempt, from 1
	size            vec     // what it counts for on its VM
	peak            vec     // highest measured usage of the attempt
	rack            rackKey // where it is held
	placedAt        time.Time
	started         time.Time
	stoppedAt       time.Time     // when it was told to stop
	ran             time.Duration // run time of earlier attempts that ended with a checkpoint
	releasing       bool          // counted in the releasing amounts of VM and team
	checkpointing   bool          // was told to write a checkpoint
	hardStop        bool          // was told to stop without finishing its checkpoint
	yields          bool          // it backfills a reserved VM and makes way for reserved work
	marked          bool          // its room is counted on while a gang is being fitted in
	outgrownAt      time.Time     // since when it is over its size, zero if it is within it
	throttled       bool
	outgrown        int // attempts stopped because the task outgrew its size
	outgrownAttempt int
	failures        int
	losses          int
	timer           int64 // generation of its timer; a fired timer of an older one is ignored
}

// held reports whether the task occupies a VM.
func (t *task) held() bool { return t.vm != nil }

// job is a submitted job.
type job struct {
	Job
	team         *team
	declared     vec
	size         vec // what a task of it is counted for when placed
	level        level
	key          int64 // position in the queue of the team
	seq          int64
	tasks        []task
	pending      []int // indexes of pending tasks, taken from the end
	holding      int   // tasks that are held
	open         int   // tasks that are not finished
	placements   int   // places that were not taken back
	ended        bool  // failed or canceled; remaining tasks are being stopped
	canceled     bool
	group        *group
	groupPos     int
	starts       int       // gang starts so far
	broken       bool      // a gang that must stop and start again
	retryAt      time.Time // when a broken gang may start again
	badVMs       []string  // VMs on which a task of it failed
	unfitAt      time.Time
	learned      *learned
	peak         vec // highest usage of a task that outgrew its size
	sizeVersion  int // version of the learned sizes and of the fleet that size is from
	sizeFleet    int
	claims       []*claim
	spread       spread
	waitingSince time.Time
	reserveFrom  time.Time // not reserved for before this time
	inCtl        bool
}

// team is a team with its use of the partition.
type team struct {
	name      string
	weight    float64
	limit     vec
	budget    vec
	used      vec
	wanted    vec
	claimed   vec     // room being made for its work
	releasing vec     // of the tasks being stopped
	doomed    vec     // of the tasks considered for preemption
	share     float64 // weighted dominant share
	entitled  float64 // dominant share it is entitled to
	over      float64 // excess over its entitlement, for sorting
	below     bool    // it may hold more within its entitlement
	runs      runList
	relearned bool // its learned sizes have changed
	queues    [levels]teamQueue
}

// vm is a worker.
type vm struct {
	VM
	capacity         vec
	held             vec
	avail            vec // free and not kept by claims
	releasing        vec // of the tasks being stopped
	claims           []*claim
	reservation      *reservation
	slack            vec   // left beside the job of the reservation
	freed            bool  // listed as having more room than before
	searched         int64 // last search that has examined it
	outgrown         int   // tasks that have outgrown their size
	failures         []vmFailure
	refusals         int
	quarantines      int
	quarantinedUntil time.Time
	probation        bool // takes one task at a time until one has done well
	tasks            []*task
	open             bool // takes new work and is in the indexes
	known            bool // false for a VM that is only known by a restored task
	domain           *domain
	pos              [indexes][indexDims]indexPos
	backoff          time.Time
	timer            int64
}

// failure is a job failure to be reported by the next Schedule.
type failure struct {
	job    *job
	reason string
}

// New returns an empty cell.
func New(policy Policy) *Cell {
	c := &Cell{
		policy:  policy,
		teams:   map[string]*team{},
		vms:     map[string]*vm{},
		jobs:    map[string]*job{},
		domains: map[string]*domain{},
		learned: map[queueKey]*learned{},
	}
	for k := range c.index {
		c.index[k] = newVMIndex(cellIndex)
	}
	return c
}

// SetTeams replaces the configured teams. A team that is no longer configured
// keeps what it has placed until its budget is withdrawn.
func (c *Cell) SetTeams(teams []api.Team) {
	listed := map[string]bool{}
	for _, in := range teams {
		t := c.team(in.Name)
		t.weight = max(1, float64(in.Share))
		t.limit = toVec(in.Limit)
		listed[in.Name] = true
		c.updateShare(t)
	}
	for _, t := range c.order {
		if !listed[t.name] {
			t.limit = vec{}
		}
	}
	c.fleetVersion++
}

// team returns the team of the name and adds it if needed.
func (c *Cell) team(name string) *team {
	if t, ok := c.teams[name]; ok {
		return t
	}
	t := &team{name: name, weight: 1}
	c.teams[name] = t
	at := sort.Search(len(c.order), func(i int) bool { return c.order[i].name >= name })
	c.order = append(c.order, nil)
	copy(c.order[at+1:], c.order[at:])
	c.order[at] = t
	return t
}

// SetBudget sets the allotment that the partition holds for the team: the upper
// bound on what the team has placed here. Work above it is stopped by Schedule.
func (c *Cell) SetBudget(team string, budget api.Resources) {
	c.team(team).budget = toVec(budget)
}

// Usage returns what the tasks of the team hold.
func (c *Cell) Usage(team string) api.Resources {
	if t, ok := c.teams[team]; ok {
		return t.used.resources()
	}
	return api.Resources{}
}

// Wanted returns what the runnable pending work of the team needs.
func (c *Cell) Wanted(team string) api.Resources {
	if t, ok := c.teams[team]; ok {
		return t.wanted.resources()
	}
	return api.Resources{}
}

// find returns the task of the ID, nil if its job is not known.
func (c *Cell) find(id TaskID) *task {
	jobID, index, ok := id.Split()
	if !ok {
		return nil
	}
	j, ok := c.jobs[jobID]
	if !ok || index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[index]
}

// occupy counts the task on the VM.
func (c *Cell) occupy(t *task, v *vm, size vec) {
	t.vm = v
	t.size = size
	t.vmPos = len(v.tasks)
	v.tasks = append(v.tasks, t)
	v.held = v.held.add(size)
	t.job.holding++
	tm := t.job.team
	tm.used = tm.used.add(size)
	tm.addRun(t, t.placedAt)
	c.updateShare(tm)
	if t.job.Class != api.ClassBatch {
		t.rack = v.rackOf()
		t.job.spread.change(v, t.rack, 1)
	}
	c.refresh(v)
}

// vacate frees what the task occupies.
func (c *Cell) vacate(t *task) {
	v := t.vm
	c.setReleasing(t, false)
	if !t.outgrownAt.IsZero() {
		t.outgrownAt = time.Time{}
		v.outgrown--
	}
	if t.job.Class != api.ClassBatch {
		t.job.spread.change(v, t.rack, -1)
	}
	last := len(v.tasks) - 1
	v.tasks[t.vmPos] = v.tasks[last]
	v.tasks[t.vmPos].vmPos = t.vmPos
	v.tasks[last] = nil
	v.tasks = v.tasks[:last]
	v.held = v.held.sub(t.size)
	t.vm = nil
	t.job.holding--
	tm := t.job.team
	tm.used = tm.used.sub(t.size)
	tm.endRun()
	c.updateShare(tm)
	c.refresh(v)
}

// setReleasing counts the task among those being stopped, or no longer.
func (c *Cell) setReleasing(t *task, on bool) {
	if t.releasing == on {
		return
	}
	t.releasing = on
	size := t.size
	if !on {
		size = vec{}.sub(t.size)
	}
	t.vm.releasing = t.vm.releasing.add(size)
	t.job.team.releasing = t.job.team.releasing.add(size)
}
