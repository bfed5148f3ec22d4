package scheduler

import (
	"strconv"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// TaskID identifies a task: team/job/index.
type TaskID string

// NewTaskID returns the ID of the task of a job with the given index.
func NewTaskID(jobID string, index int) TaskID {
	return TaskID(jobID + "/" + strconv.Itoa(index))
}

// Split returns the job ID and the index of the task within the job.
func (id TaskID) Split() (jobID string, index int, ok bool) {
	at := strings.LastIndexByte(string(id), '/')
	if at <= 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(string(id[at+1:]))
	if err != nil || index < 0 {
		return "", 0, false
	}
	return string(id[:at]), index, true
}

// VMState tells whether a VM accepts new tasks.
type VMState string

// States of a VM.
const (
	VMLive        VMState = "live"        // accepts new tasks
	VMLeaving     VMState = "leaving"     // accepts no new tasks; its tasks are moved
	VMUnreachable VMState = "unreachable" // accepts no new tasks; its tasks keep their resources
)

// VM is a worker machine of the partition.
type VM struct {
	ID            string
	Rack          string
	FailureDomain string
	Capacity      api.Resources
	State         VMState
}

// Job is a service, a batch job or a gang.
type Job struct {
	ID             string // team/job, unique over all teams
	Team           string
	Queue          string
	Class          api.Class
	Urgency        api.Urgency
	Tasks          int
	Resources      api.Resources // declared size of one task
	EstimatedRun   time.Duration // declared run time of one task, 0 if unknown
	Deadline       time.Time     // latest time of the first start, zero for none
	Checkpointable bool
	MaxAttempts    int // failed attempts allowed for each task, 0 for the default of the policy
}

// Outcome tells how a task ended on its VM.
type Outcome string

// Outcomes of a task.
const (
	OutcomeSuccess      Outcome = "success"
	OutcomeFailed       Outcome = "failed"       // exited with an error
	OutcomeLost         Outcome = "lost"         // its VM is gone or its lease has expired
	OutcomeCheckpointed Outcome = "checkpointed" // stopped after writing a checkpoint
	OutcomeStopped      Outcome = "stopped"      // stopped without a checkpoint
	OutcomeRefused      Outcome = "refused"      // the worker did not start it
)

// DecisionKind tells what a decision does.
type DecisionKind string

// Kinds of decisions.
const (
	DecisionPlace      DecisionKind = "place"      // start the task on the VM as the given attempt
	DecisionStop       DecisionKind = "stop"       // stop the task without a checkpoint
	DecisionCheckpoint DecisionKind = "checkpoint" // write a checkpoint, then stop the task
	DecisionThrottle   DecisionKind = "throttle"   // limit the processor time of the task; 100 percent lifts the limit
	DecisionFailJob    DecisionKind = "fail_job"   // the job has failed; a DecisionStop for its tasks follows
)

// Decision is one step for the owner of the partition to carry out.
type Decision struct {
	Kind    DecisionKind
	Task    TaskID
	Job     string
	VM      string
	Attempt int
	Percent int    // of the declared processor time, for DecisionThrottle
	Group   string // equal in each DecisionPlace of one gang start, empty without a gang
	Reason  string
}

// TaskUsage is the measured usage of a task.
type TaskUsage struct {
	Task    TaskID
	Attempt int
	Usage   api.Resources
}
