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

	seq     int64 // order of submission
	timers  timerHeap
	control []*job // jobs with tasks to be stopped
	failing []failure
	pass    passState
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
	id       TaskID
	job      *job
	index    int
	state    taskState
	vm       *vm // nil unless held there
	vmPos    int // position in vm.tasks
	attempt  int // last attempt, from 1
	size     vec // what it counts for on its VM
	placedAt time.Time
	started  time.Time
	failures int
	losses   int
	timer    int64 // generation of its timer; a fired timer of an older one is ignored
}

// held reports whether the task occupies a VM.
func (t *task) held() bool { return t.vm != nil }

// job is a submitted job.
type job struct {
	Job
	team     *team
	declared vec
	size     vec // what a task of it is counted for when placed
	level    level
	key      int64 // position in the queue of the team
	seq      int64
	tasks    []task
	pending  []int // indexes of pending tasks, taken from the end
	holding  int   // tasks that are held
	open     int   // tasks that are not finished
	started  bool  // whether a task of it was ever placed
	ended    bool  // failed or canceled; remaining tasks are being stopped
	canceled bool
	group    *group
	groupPos int
	starts   int       // gang starts so far
	broken   bool      // a gang that must stop and start again
	retryAt  time.Time // when a broken gang may start again
	badVMs   []string  // VMs on which a task of it failed
	unfitAt  time.Time
	inCtl    bool
}

// team is a team with its use of the partition.
type team struct {
	name   string
	weight float64
	limit  vec
	budget vec
	used   vec
	wanted vec
	share  float64 // weighted dominant share
	queues [levels]teamQueue
}

// vm is a worker.
type vm struct {
	VM
	capacity vec
	held     vec
	avail    vec
	tasks    []*task
	open     bool // takes new work and is in the indexes
	known    bool // false for a VM that is only known by a restored task
	domain   *domain
	pos      [indexes][indexDims]indexPos
	backoff  time.Time
	timer    int64
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
	c.updateShare(tm)
	c.refresh(v)
}

// vacate frees what the task occupies.
func (c *Cell) vacate(t *task) {
	v := t.vm
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
	c.updateShare(tm)
	c.refresh(v)
}
