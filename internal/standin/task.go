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
	fullSpeedPercent = 100
	// usageSigma is the standard deviation of ln(actual usage / declared
	// resources): one task in three is off by a factor of more than 1.6.
	usageSigma = 0.5
)

// taskPayload is the payload of a task. It sets the task's run time, usage and exit
// code. A missing run time or usage is drawn at random.
type taskPayload struct {
	RunMs     *int `json:"run_ms"` // negative: runs until stopped
	CPUMillis *int `json:"cpu_millis"`
	MemoryMb  *int `json:"memory_mb"`
	ExitCode  int  `json:"exit_code"`
}

// task is one attempt of a task on a Worker, guarded by the mutex of the Worker.
type task struct {
	start     api.TaskStart
	payload   taskPayload
	fullUsage api.Resources // usage without a throttle
	state     api.TaskReportState
	exitCode  int
	reason    string

	startedAt     time.Time
	remaining     time.Duration // run time left at full speed; negative: no end
	remainingAt   time.Time     // time of the last update of remaining; zero while paused
	throttle      int           // percent
	checkpointing bool
	checkpoint    string
	timer         *time.Timer
	timerVersion  int // incremented by resume and pause, to detect outdated timers
}

// checkpointContent is the content of a checkpoint.
type checkpointContent struct {
	RemainingMs int64 `json:"work_ms"` // run time left at full speed
}

func newTask(s api.TaskStart, meanRun time.Duration, rng *rand.Rand) *task {
	t := &task{start: s, state: api.TaskReportStateRunning, startedAt: time.Now(), throttle: fullSpeedPercent}
	_ = json.Unmarshal([]byte(s.Payload), &t.payload) // any other payload sets nothing
	t.remaining = time.Duration(rng.ExpFloat64() * float64(meanRun))
	if t.payload.RunMs != nil {
		t.remaining = time.Duration(*t.payload.RunMs) * time.Millisecond
	}
	factor := math.Exp(rng.NormFloat64() * usageSigma)
	t.fullUsage = api.Resources{
		Accelerators: s.Resources.Accelerators,
		CpuMillis:    usageOr(t.payload.CPUMillis, s.Resources.CpuMillis, factor),
		MemoryMb:     usageOr(t.payload.MemoryMb, s.Resources.MemoryMb, factor),
	}
	return t
}

func usageOr(given *int, declared int, factor float64) int {
	if given != nil {
		return *given
	}
	return int(float64(declared) * factor)
}

// speed returns the fraction of full speed that the throttle allows.
func (t *task) speed() float64 { return float64(t.throttle) / fullSpeedPercent }

// updateRemaining subtracts the work done since the last update from remaining.
func (t *task) updateRemaining() {
	now := time.Now()
	if !t.remainingAt.IsZero() && t.remaining >= 0 {
		t.remaining = max(0, t.remaining-time.Duration(float64(now.Sub(t.remainingAt))*t.speed()))
	}
	t.remainingAt = now
}

// resume lets the task run. It returns the time until the task ends, and whether
// it ends at all.
func (t *task) resume() (left time.Duration, ends bool) {
	t.pause()
	t.remainingAt = time.Now()
	if t.remaining < 0 || t.throttle <= 0 {
		return 0, false
	}
	return time.Duration(float64(t.remaining) / t.speed()), true
}

// pause stops the progress and the end timer of the task.
func (t *task) pause() {
	t.updateRemaining()
	t.remainingAt = time.Time{}
	t.timerVersion++
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// setThrottle limits the speed; 0 means no throttle. The caller must then schedule
// the end of the task again.
func (t *task) setThrottle(percent int) {
	t.updateRemaining()
	if percent <= 0 || percent > fullSpeedPercent {
		percent = fullSpeedPercent
	}
	t.throttle = percent
}

func (t *task) checkpointKey() string {
	return fmt.Sprintf("checkpoint/%s/%d", strings.ReplaceAll(t.start.TaskId, "/", "."), t.start.Attempt)
}

func (t *task) checkpointData() []byte {
	return fmt.Appendf(nil, `{"work_ms":%d}`, t.remaining.Milliseconds())
}

func (t *task) restore(data []byte) {
	var c checkpointContent
	if err := json.Unmarshal(data, &c); err == nil {
		t.remaining = time.Duration(c.RemainingMs) * time.Millisecond
	}
}

// report returns the report of the task. Its usage is zero until the first
// measurement.
func (t *task) report(lag time.Duration) api.TaskReport {
	out := api.TaskReport{
		TaskId: t.start.TaskId, Attempt: t.start.Attempt, State: t.state, ExitCode: t.exitCode,
		Reason: t.reason, Checkpoint: t.checkpoint, ThrottlePercent: t.throttle,
		UsageAgeMs: int(lag.Milliseconds()),
	}
	if t.state == api.TaskReportStateRunning && time.Since(t.startedAt) >= lag {
		out.Usage = t.usage()
	}
	return out
}

// usage returns the current usage under the throttle.
func (t *task) usage() api.Resources {
	use := t.fullUsage
	if t.throttle < fullSpeedPercent {
		use.CpuMillis = min(use.CpuMillis, t.start.Resources.CpuMillis*t.throttle/fullSpeedPercent)
	}
	return use
}
