// Package work holds the declarations that the owner of a cell decides by:
// queues, teams, resources and the names of steps and tasks.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Resources is an amount of what a worker holds or a task needs.
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

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{n * r.CPUMillis, n * r.MemoryMB, n * r.Accelerators}
}

// Holds reports whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return o.CPUMillis <= r.CPUMillis && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Advice is the cost and the life of the advice that the tasks of a queue need.
type Advice struct {
	Decision  time.Duration // time of one call
	PerWorker time.Duration // additional time for each worker named
	ValidFor  time.Duration // life of a ticket
}

// Queue is where work of one kind is submitted.
type Queue struct {
	Name          string
	Host          string // callers select the queue by host and path prefix
	Prefix        string
	Pool          string // pool of workers that runs the work
	Priority      int    // 0 comes first and may preempt others
	MaxAttempts   int    // failed attempts of a task after which its work fails; 0 for no limit
	Stretch       float64
	TargetLatency time.Duration
	Open          bool    // callers need no key
	Advice        *Advice // nil if any worker of the pool may run the tasks
}

// Team is a client account.
type Team struct {
	Name   string
	Weight float64   // works a second that the team may expect when the cell is full
	Limit  Resources // 0 in a dimension for no limit
}

// Pool is a group of like workers.
type Pool struct {
	Name       string
	HealthPath string
	Guarded    bool // the workers refuse what does not fit
	Standby    bool // the workers are switched off
}

// Config is one version of the declarations in force.
type Config struct {
	Version int
	Queues  map[string]*Queue
	Teams   map[string]*Team
	Pools   map[string]*Pool
}

// StepID names a step of one occurrence of a work.
type StepID struct {
	Work       string
	Occurrence int
	Step       int
}

// String returns the name as workers and the adviser know it.
func (s StepID) String() string {
	return s.Work + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID names a task.
type TaskID struct {
	StepID
	Index int
}

// String returns the name as workers know it.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the name of a task.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task name %q has not the form WORK.OCCURRENCE.STEP.INDEX", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: %q is not a number", s, p)
		}
		n[i] = v
	}
	return TaskID{StepID{parts[0], n[0], n[1]}, n[2]}, nil
}
