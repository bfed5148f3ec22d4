// Package work defines the configuration by which the owner of a cell schedules works
// (queues, teams, pools), resource amounts, and the IDs of steps and tasks.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Resources is the capacity of a worker, the demand of a task, or a part or sum of these.
type Resources struct {
	CPUMillis    int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// ResourcesOf converts the schema type.
func ResourcesOf(r api.Resources) Resources {
	return Resources{CPUMillis: r.CpuMillis, MemoryMB: r.MemoryMb, Accelerators: r.Accelerators}
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMillis + o.CPUMillis, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMillis, o.CPUMillis), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{n * r.CPUMillis, n * r.MemoryMB, n * r.Accelerators}
}

// Covers reports whether o fits into r in every dimension.
func (r Resources) Covers(o Resources) bool {
	return o.CPUMillis <= r.CPUMillis && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Advice describes the calls to the adviser that the tasks of a queue need before they
// are placed.
type Advice struct {
	CallDuration      time.Duration // duration of a call
	DurationPerWorker time.Duration // additional duration for each worker in the call
	ValidFor          time.Duration // validity of a ticket
}

// Queue is a queue to which works are submitted, with the terms for these works.
type Queue struct {
	Name          string
	Host          string // a call selects its queue by host and path prefix
	Prefix        string
	Pool          string        // pool of workers that run the tasks
	Priority      int           // 0 is the highest and may preempt the others
	MaxAttempts   int           // failed attempts of a task after which its work fails; 0 for no limit
	LatencyFactor float64       // the objective of a work is LatencyFactor * critical path + TargetLatency
	TargetLatency time.Duration // see LatencyFactor; the whole objective of a long-running work
	Open          bool          // callers need no key
	Advice        *Advice       // nil if any worker of the pool may run the tasks
}

// Team is a client account.
type Team struct {
	Name       string
	SubmitRate float64   // works per second that the team may expect while the cell is full
	Limit      Resources // 0 in a dimension means no limit
}

// Pool is a group of workers of the same kind.
type Pool struct {
	Name            string
	HealthPath      string
	RejectsOverload bool // the workers refuse tasks that do not fit
	Standby         bool // the workers are switched off
}

// Config is one version of the configuration.
type Config struct {
	Version int
	Queues  map[string]*Queue
	Teams   map[string]*Team
	Pools   map[string]*Pool
}

// StepID identifies a step of one occurrence of a work.
type StepID struct {
	Work       string
	Occurrence int
	Step       int
}

// String returns the ID in the form that workers and the adviser use.
func (s StepID) String() string {
	return s.Work + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// ParseStepID parses the form that StepID.String returns.
func ParseStepID(s string) (StepID, error) {
	t, err := ParseTaskID(s + ".0")
	if err != nil {
		return StepID{}, fmt.Errorf("step ID %q does not have the form WORK.OCCURRENCE.STEP", s)
	}
	return t.StepID, nil
}

// TaskID identifies a task of a step.
type TaskID struct {
	StepID
	Index int
}

// String returns the ID in the form that workers use.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task ID %q does not have the form WORK.OCCURRENCE.STEP.INDEX", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task ID %q: %q is not a number of 0 or more", s, p)
		}
		n[i] = v
	}
	return TaskID{StepID{parts[0], n[0], n[1]}, n[2]}, nil
}
