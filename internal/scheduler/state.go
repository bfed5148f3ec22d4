package scheduler

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// State is the scheduling state of one worker partition. It is not safe for
// concurrent use.
type State struct {
	policy        Policy
	teams         map[string]*team
	sortedTeams   []*team // by name, so that iteration is deterministic
	vms           map[string]*vm
	sortedVMs     []*vm // by ID
	jobs          map[string]*job
	totalCapacity resourceVec // capacity of the live VMs

	capacityClasses    []capacityClass // distinct VM capacities of the fleet
	fleetVersion       int             // incremented when the fleet or a limit changes
	feasibilityVersion int             // fleetVersion of the last check for infeasible jobs
	infeasibleJobs     int             // jobs found infeasible by the last check
	vmIndexes          [vmKindCount]*vmIndex
	domains            map[string]*domain
	sortedDomains      []*domain

	lastSeq           int64 // sequence number of the last added job
	timers            timerHeap
	histories         map[queueKey]*usageHistory
	queuedDecisions   []queuedDecision
	leavingVMs        []*vm // by ID
	unschedulable     [priorityCount][]unschedulableGroup
	budgetWaiters     int   // groups that wait for budget
	requeuedVersion   int   // fleetVersion at the last requeue of unschedulable groups
	sizesChanged      bool  // learned sizes of a team have changed
	freedVMs          []*vm // VMs whose free capacity has grown
	retryGangs        bool  // free capacity has grown since gangs were last tried
	inTrial           bool  // allocations are tentative and will be reverted
	passCount         int64 // Schedule calls so far
	reservationCursor int   // index in sortedVMs at which the last reservation plan ended
	lastSweep         time.Time
	entitlementsAt    time.Time // when the entitlements were last computed
	overfullVMs       []*vm     // VMs whose tasks may exceed their capacity
	searchCount       int64     // preemption searches so far
	reservations      [reservationSlots]*reservation
	stopQueue         []*job // jobs with tasks to stop
	jobFailures       []jobFailure
	pass              passState
}

// taskState is the state of a task within the scheduler.
type taskState int

const (
	taskPending taskState = iota // may be placed
	taskWaiting                  // waits for a timer or for the rest of its gang
	taskPlaced                   // placed on a VM, start not reported yet
	taskRunning
	taskStopping // a stop was requested, still allocated
	taskUnfenced // may still run on a VM that cannot be fenced
	taskDone
	taskFailed
	taskCanceled
)

// task is one task of a job.
type task struct {
	id                   TaskID
	job                  *job
	index                int
	state                taskState
	vm                   *vm         // nil unless the task occupies a VM
	vmTaskPos            int         // index in vm.tasks
	attempt              int         // number of the last attempt, from 1
	size                 resourceVec // resources allocated for the task on its VM
	peak                 resourceVec // highest measured usage of the attempt
	rack                 rackKey     // rack of its VM
	placedAt             time.Time
	started              time.Time
	stoppedAt            time.Time     // when the stop was requested
	earlierRunTime       time.Duration // run time of earlier attempts that ended with a checkpoint
	releasing            bool          // counted in the releasing amounts of its VM and team
	checkpointing        bool          // a checkpoint was requested
	checkpointAborted    bool          // a stop without waiting for the checkpoint was requested
	yieldsToReservation  bool          // runs on a reserved VM and is preempted when the reserved work can start
	trialVictim          bool          // its resources count as free during a trial placement of a gang
	oversizedSince       time.Time     // when it exceeded its size, zero while it is within it
	throttled            bool
	oversizedStops       int   // attempts stopped because the task exceeded its size
	oversizedStopAttempt int   // last attempt that was stopped because the task exceeded its size
	failures             int   // failed attempts
	losses               int   // attempts that were lost with their VM
	timerGeneration      int64 // generation of its timer; timers of older generations are ignored
}

// occupiesVM reports whether resources of a VM are allocated to the task.
func (t *task) occupiesVM() bool { return t.vm != nil }

// job is a submitted job.
type job struct {
	Job
	team             *team
	declared         resourceVec
	size             resourceVec // resources allocated for each task when placed
	priority         priority
	orderKey         int64 // sort key in the queue of the team
	seq              int64
	tasks            []task
	pending          []int // indexes of pending tasks, taken from the end
	placedTasks      int   // tasks that occupy a VM
	unfinished       int
	placements       int  // placements that were neither reverted nor refused
	ended            bool // failed or canceled; remaining tasks are being stopped
	canceled         bool
	group            *jobGroup
	groupPos         int
	gangStarts       int       // how often the gang was placed
	restarting       bool      // the members of the gang must all stop before it starts again
	retryAt          time.Time // earliest time at which a restarting gang may start again
	failedVMs        []string  // VMs on which tasks of the job failed
	infeasibleSince  time.Time
	history          *usageHistory
	peak             resourceVec // highest usage of an oversized task
	sizeVersion      int         // version of the learned sizes for which size was computed
	sizeFleetVersion int         // fleetVersion for which size was computed
	claims           []*claim
	spread           taskSpread
	waitingSince     time.Time
	reservableFrom   time.Time // earliest time for the next reservation
	inStopQueue      bool
}

// team is the usage and entitlement of a team in the partition.
type team struct {
	name              string
	weight            float64
	limit             resourceVec // configured limit over all partitions
	budget            resourceVec // allotment in this partition
	allocated         resourceVec
	pendingDemand     resourceVec
	claimed           resourceVec // capacity claimed for its jobs
	releasing         resourceVec // of tasks that are being stopped
	consideredRelease resourceVec // of tasks considered for preemption in the current search
	weightedShare     float64     // weighted dominant share
	entitledShare     float64     // dominant share that the team is entitled to
	excess            float64     // share above its entitlement, for sorting
	belowEntitlement  bool        // it may allocate more within its entitlement
	runs              taskRunList
	sizesChanged      bool // its learned sizes have changed
	queues            [priorityCount]teamQueue
}

// vm is a worker machine with its allocations.
type vm struct {
	VM
	capacity         resourceVec
	allocated        resourceVec
	available        resourceVec // free and not claimed
	releasing        resourceVec // of tasks that are being stopped
	claims           []*claim
	reservation      *reservation
	reservationSlack resourceVec // capacity left beside the reserved work
	inFreedVMs       bool        // listed in State.freedVMs
	lastSearch       int64       // number of the last preemption search that examined it
	oversizedTasks   int         // tasks that exceed their size
	failures         []vmFailure
	refusals         int // refused tasks since the last success
	quarantines      int // reduced by one after each passed probation
	quarantinedUntil time.Time
	probation        bool // runs one task at a time until a task succeeds or runs without a quick failure
	tasks            []*task
	indexed          bool // accepts new tasks and is in the indexes
	registered       bool // false for a VM known only from a restored task
	domain           *domain
	indexPositions   [indexScopeCount][indexDims]indexPosition
	blockedUntil     time.Time // accepts no new tasks until then, zero if not blocked
	timerGeneration  int64
}

// jobFailure is a failed job that the next Schedule call reports.
type jobFailure struct {
	job    *job
	reason string
}

// New returns a State without teams, VMs and jobs.
func New(policy Policy) *State {
	s := &State{
		policy:    policy,
		teams:     map[string]*team{},
		vms:       map[string]*vm{},
		jobs:      map[string]*job{},
		domains:   map[string]*domain{},
		histories: map[queueKey]*usageHistory{},
	}
	for k := range s.vmIndexes {
		s.vmIndexes[k] = newVMIndex(scopePartition)
	}
	return s
}

// SetTeams replaces the configured teams. Tasks of a team that is no longer
// configured keep running until its budget is withdrawn.
func (s *State) SetTeams(teams []api.Team) {
	listed := map[string]bool{}
	for _, in := range teams {
		t := s.ensureTeam(in.Name)
		t.weight = max(1, float64(in.Share))
		t.limit = toResourceVec(in.Limit)
		listed[in.Name] = true
		s.updateShare(t)
	}
	for _, t := range s.sortedTeams {
		if !listed[t.name] {
			t.limit = resourceVec{}
		}
	}
	s.fleetVersion++
}

// ensureTeam returns the team with the name and adds it if it does not exist.
func (s *State) ensureTeam(name string) *team {
	if t, ok := s.teams[name]; ok {
		return t
	}
	t := &team{name: name, weight: 1}
	s.teams[name] = t
	s.sortedTeams = insertSorted(s.sortedTeams, t, name, byName)
	return t
}

// TeamNames returns the names of the configured teams and of those that were configured
// or had jobs before, sorted.
func (s *State) TeamNames() []string {
	names := make([]string, len(s.sortedTeams))
	for i, t := range s.sortedTeams {
		names[i] = t.name
	}
	return names
}

// SetBudget sets the allotment of the team in this partition, which limits what
// its tasks may occupy. Schedule stops tasks that exceed it.
func (s *State) SetBudget(team string, budget api.Resources) {
	s.ensureTeam(team).budget = toResourceVec(budget)
}

// Allocated returns the resources allocated to the tasks of the team.
func (s *State) Allocated(team string) api.Resources {
	if t, ok := s.teams[team]; ok {
		return t.allocated.resources()
	}
	return api.Resources{}
}

// PendingDemand returns the resources that the pending tasks of the team need.
func (s *State) PendingDemand(team string) api.Resources {
	if t, ok := s.teams[team]; ok {
		return t.pendingDemand.resources()
	}
	return api.Resources{}
}

// findTask returns the task with the ID, or nil if its job is unknown.
func (s *State) findTask(id TaskID) *task {
	jobID, index, ok := id.Split()
	if !ok {
		return nil
	}
	j, ok := s.jobs[jobID]
	if !ok || index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[index]
}

// allocate assigns the task to the VM and counts size for its VM and team.
func (s *State) allocate(t *task, v *vm, size resourceVec) {
	t.vm = v
	t.size = size
	t.vmTaskPos = len(v.tasks)
	v.tasks = append(v.tasks, t)
	v.allocated = v.allocated.add(size)
	t.job.placedTasks++
	tm := t.job.team
	tm.allocated = tm.allocated.add(size)
	tm.addRun(t, t.placedAt)
	s.updateShare(tm)
	if t.job.Class != api.ClassBatch {
		t.rack = v.rackKey()
		t.job.spread.adjust(v, t.rack, 1)
	}
	s.updateAvailable(v)
}

// deallocate removes the task from its VM and frees its resources.
func (s *State) deallocate(t *task) {
	v := t.vm
	s.setReleasing(t, false)
	if !t.oversizedSince.IsZero() {
		t.oversizedSince = time.Time{}
		v.oversizedTasks--
	}
	if t.job.Class != api.ClassBatch {
		t.job.spread.adjust(v, t.rack, -1)
	}
	last := len(v.tasks) - 1
	v.tasks[t.vmTaskPos] = v.tasks[last]
	v.tasks[t.vmTaskPos].vmTaskPos = t.vmTaskPos
	v.tasks[last] = nil
	v.tasks = v.tasks[:last]
	v.allocated = v.allocated.sub(t.size)
	t.vm = nil
	t.job.placedTasks--
	tm := t.job.team
	tm.allocated = tm.allocated.sub(t.size)
	tm.endRun()
	s.updateShare(tm)
	s.updateAvailable(v)
}

// setReleasing adds the task to the releasing amounts or removes it from them.
func (s *State) setReleasing(t *task, on bool) {
	if t.releasing == on {
		return
	}
	t.releasing = on
	size := t.size
	if !on {
		size = resourceVec{}.sub(t.size)
	}
	t.vm.releasing = t.vm.releasing.add(size)
	t.job.team.releasing = t.job.team.releasing.add(size)
}
