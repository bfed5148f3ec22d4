package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	unthrottled = 100 // percent
	// sizeSpread is the standard deviation of the logarithm of true by declared
	// size: one task in three is more than 1.6 times off.
	sizeSpread = 0.5
)

// order is what the payload of a task tells about its course. Missing parts are
// drawn at random.
type order struct {
	RunMs     *int `json:"run_ms"` // negative: until it is stopped
	CPUMillis *int `json:"cpu_millis"`
	MemoryMb  *int `json:"memory_mb"`
	ExitCode  int  `json:"exit_code"`
}

// task is one attempt of a task at a Worker, which guards it.
type task struct {
	start    api.TaskStart
	order    order
	size     api.Resources // true use without a throttle
	state    api.TaskReportState
	exitCode int
	reason   string

	began         time.Time
	work          time.Duration // left, at full speed; negative: endless
	since         time.Time     // when work was right; zero while it stands still
	throttle      int           // percent
	checkpointing bool
	checkpoint    string
	timer         *time.Timer
	armed         int // counts arm and disarm, to tell outdated timers
}

// checkpointContent is the content of a checkpoint.
type checkpointContent struct {
	WorkMs int64 `json:"work_ms"`
}

func newTask(s api.TaskStart, meanRun time.Duration, rng *rand.Rand) *task {
	t := &task{start: s, state: api.TaskReportStateRunning, began: time.Now(), throttle: unthrottled}
	_ = json.Unmarshal([]byte(s.Payload), &t.order) // a payload of another form has no orders
	t.work = time.Duration(rng.ExpFloat64() * float64(meanRun))
	if t.order.RunMs != nil {
		t.work = time.Duration(*t.order.RunMs) * time.Millisecond
	}
	factor := math.Exp(rng.NormFloat64() * sizeSpread)
	t.size = api.Resources{
		Accelerators: s.Resources.Accelerators,
		CpuMillis:    sizeOr(t.order.CPUMillis, s.Resources.CpuMillis, factor),
		MemoryMb:     sizeOr(t.order.MemoryMb, s.Resources.MemoryMb, factor),
	}
	return t
}

func sizeOr(given *int, declared int, factor float64) int {
	if given != nil {
		return *given
	}
	return int(float64(declared) * factor)
}

// speed is the share of full speed under the throttle.
func (t *task) speed() float64 { return float64(t.throttle) / unthrottled }

// settle brings work up to date.
func (t *task) settle() {
	now := time.Now()
	if !t.since.IsZero() && t.work >= 0 {
		t.work = max(0, t.work-time.Duration(float64(now.Sub(t.since))*t.speed()))
	}
	t.since = now
}

// arm lets the task proceed. It returns the time until its end, if there is one.
func (t *task) arm() (left time.Duration, ends bool) {
	t.disarm()
	t.since = time.Now()
	if t.work < 0 || t.throttle <= 0 {
		return 0, false
	}
	return time.Duration(float64(t.work) / t.speed()), true
}

// disarm lets the task stand still.
func (t *task) disarm() {
	t.settle()
	t.since = time.Time{}
	t.armed++
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// setThrottle limits the speed; 0 means no throttle. The task must be armed anew.
func (t *task) setThrottle(percent int) {
	t.settle()
	if percent <= 0 || percent > unthrottled {
		percent = unthrottled
	}
	t.throttle = percent
}

func (t *task) checkpointKey() string {
	return fmt.Sprintf("checkpoint/%s/%d", strings.ReplaceAll(t.start.TaskId, "/", "."), t.start.Attempt)
}

func (t *task) checkpointData() []byte {
	return fmt.Appendf(nil, `{"work_ms":%d}`, t.work.Milliseconds())
}

func (t *task) restore(data []byte) {
	var c checkpointContent
	if err := json.Unmarshal(data, &c); err == nil {
		t.work = time.Duration(c.WorkMs) * time.Millisecond
	}
}

// report describes the task. Use is zero until the first measurement.
func (t *task) report(lag time.Duration) api.TaskReport {
	out := api.TaskReport{
		TaskId: t.start.TaskId, Attempt: t.start.Attempt, State: t.state, ExitCode: t.exitCode,
		Reason: t.reason, Checkpoint: t.checkpoint, ThrottlePercent: t.throttle,
		UsageAgeMs: int(lag.Milliseconds()),
	}
	if t.state == api.TaskReportStateRunning && time.Since(t.began) >= lag {
		out.Usage = t.usage()
	}
	return out
}

// usage is the true use under the throttle.
func (t *task) usage() api.Resources {
	use := t.size
	if t.throttle < unthrottled {
		use.CpuMillis = min(use.CpuMillis, t.start.Resources.CpuMillis*t.throttle/unthrottled)
	}
	return use
}
