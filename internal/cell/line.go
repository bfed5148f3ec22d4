package cell

import (
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// Line is a log line about a decision.
type Line struct {
	Event  event.Event
	Fields []any // keys and values by turns
}

// TakeLines returns the lines since the last call.
func (c *Cell) TakeLines() []Line {
	out := c.lines
	c.lines = nil
	return out
}

func (c *Cell) log(e event.Event, fields ...any) {
	c.lines = append(c.lines, Line{e, fields})
}

// logRun describes a decision about a run, with the state of its worker.
func (c *Cell) logRun(e event.Event, r *run, fields ...any) {
	w := r.worker
	c.log(e, append([]any{
		"work", r.task.step.job.spec.Id, "task", r.name, "attempt", r.attempt, "worker", w.info.ID,
		"ran_ms", c.sinceMs(r.activeAt), "percent", r.percent, "usage", r.usage, "report_age_ms", c.sinceMs(w.reportedAt),
	}, fields...)...)
}

// sinceMs returns the time since a moment in milliseconds, -1 for a moment that
// has not come yet.
func (c *Cell) sinceMs(at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (c.now - at).Milliseconds()
}

func (c *Cell) logAccepted(j *job) {
	c.log(event.WorkAccepted, "work", j.spec.Id, "queue", j.spec.Queue, "team", j.team.name, "config", c.config.Version,
		"beyond_rate", j.excess, "pool_full", c.saturated(j.queue.Pool))
}

func (c *Cell) logRefused(spec *api.WorkSpec, pool string, t *team) {
	c.log(event.WorkRefused, "work", spec.Id, "queue", spec.Queue, "team", t.name, "config", c.config.Version,
		"pool_full", c.saturated(pool), "rate_per_s", t.weight, "rate_tokens", t.bucket.tokens)
}

func (c *Cell) logEnded(j *job) {
	c.log(event.WorkEnded, "work", j.spec.Id, "queue", j.spec.Queue, "team", j.team.name, "state", string(j.state),
		"after_ms", c.sinceMs(j.acceptedAt))
}

// logPlaced lists the workers that a step was given in a pass.
func (c *Cell) logPlaced(s *step) {
	placed := c.placed
	if len(placed) == 0 {
		return
	}
	c.placed = c.placed[:0]
	var workers strings.Builder
	for i, r := range placed {
		if i > 0 {
			workers.WriteByte(',')
		}
		workers.WriteString(r.worker.info.ID)
	}
	c.log(event.TasksPlaced, "work", s.job.spec.Id, "step", s.number, "occurrence", s.occ.number, "placed", len(placed), "waiting", s.waiting,
		"ready_ms", c.sinceMs(s.readyAt), "advised", len(s.advice.tickets), "slack_ms", (s.occ.deadline - c.now).Milliseconds(), "workers", workers.String())
}

func (c *Cell) logStepDone(s *step) {
	c.log(event.StepDone, "work", s.job.spec.Id, "step", s.number, "occurrence", s.occ.number, "tasks", len(s.tasks),
		"cpu_millis", s.size.CPUMillis, "accelerators", s.size.Accelerators,
		"advised_after_ms", sinceStart(s, s.advisedAt), "placed_after_ms", sinceStart(s, s.placedAt), "last_placed_after_ms", sinceStart(s, s.lastPlacedAt),
		"took_ms", c.sinceMs(s.readyAt), "longest_ms", s.longest.Milliseconds(), "estimate_ms", s.spec.EstimateMs)
}

// sinceStart returns the time from when a step was ready to a moment, -1 for a
// moment that has not come.
func sinceStart(s *step, at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (at - s.readyAt).Milliseconds()
}

// logOccurrence tells by how much an occurrence met or missed its objective.
func (c *Cell) logOccurrence(j *job, o *occurrence) {
	e := event.OccurrenceInTime
	if c.now > o.deadline {
		e = event.OccurrenceLate
	}
	c.log(e, "work", j.spec.Id, "occurrence", o.number, "queue", j.spec.Queue, "team", j.team.name,
		"took_ms", c.sinceMs(o.due), "objective_ms", (o.deadline - o.due).Milliseconds())
}
