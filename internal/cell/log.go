package cell

import (
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// LogLine is a log line about a scheduling decision.
type LogLine struct {
	Event  event.Event
	Fields []any // alternating keys and values
}

// DrainLogLines returns and clears the log lines since the last call.
func (c *Cell) DrainLogLines() []LogLine {
	out := c.logLines
	c.logLines = nil
	return out
}

func (c *Cell) log(e event.Event, fields ...any) {
	c.logLines = append(c.logLines, LogLine{e, fields})
}

// logRun logs a decision about a run, with its progress and the age of the last report
// of its worker.
func (c *Cell) logRun(e event.Event, r *run, fields ...any) {
	w := r.worker
	c.log(e, append([]any{
		"work", r.task.step.work.spec.Id, "task", r.taskName, "attempt", r.attempt, "worker", w.info.ID,
		"ran_ms", c.sinceMs(r.activeAt), "percent", r.percent, "usage", r.usage, "report_age_ms", c.sinceMs(w.reportedAt),
	}, fields...)...)
}

// sinceMs returns the milliseconds since a boot time, -1 if the time is not set.
func (c *Cell) sinceMs(at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (c.now - at).Milliseconds()
}

func (c *Cell) logAccepted(aw *activeWork) {
	c.log(event.WorkAccepted, "work", aw.spec.Id, "queue", aw.spec.Queue, "team", aw.team.name, "config", c.config.Version,
		"beyond_rate", aw.beyondRate, "pool_full", c.saturated(aw.queue.Pool))
}

func (c *Cell) logRefused(spec *api.WorkSpec, pool string, t *team) {
	c.log(event.WorkRefused, "work", spec.Id, "queue", spec.Queue, "team", t.name, "config", c.config.Version,
		"pool_full", c.saturated(pool), "rate_per_s", t.submitRate, "rate_tokens", t.bucket.tokens)
}

func (c *Cell) logAdviceScarce(aw *activeWork, w adviceWait) {
	c.log(event.AdviceScarce, "work", aw.spec.Id, "queue", aw.spec.Queue, "team", aw.team.name, "wait_ms", w.wait.Milliseconds(),
		"limit_ms", w.limit.Milliseconds(), "team_need_ms", w.teamNeed.Milliseconds(), "team_limit_ms", w.teamLimit.Milliseconds(),
		"nodes", c.answeringNodes(), "overhead", c.adviceDemand.overhead(c.now))
}

func (c *Cell) logEnded(aw *activeWork) {
	c.log(event.WorkEnded, "work", aw.spec.Id, "queue", aw.spec.Queue, "team", aw.team.name, "state", string(aw.state),
		"after_ms", c.sinceMs(aw.acceptedAt))
}

// logPlaced logs the workers on which tasks of a step were placed in this pass.
func (c *Cell) logPlaced(s *step) {
	placed := c.unloggedRuns
	if len(placed) == 0 {
		return
	}
	c.unloggedRuns = c.unloggedRuns[:0]
	var workers strings.Builder
	for i, r := range placed {
		if i > 0 {
			workers.WriteByte(',')
		}
		workers.WriteString(r.worker.info.ID)
	}
	c.log(event.TasksPlaced, "work", s.work.spec.Id, "step", s.number, "occurrence", s.occurrence.number, "placed", len(placed), "waiting", s.waiting,
		"ready_ms", c.sinceMs(s.readyAt), "advised", len(s.advice.tickets), "slack_ms", (s.occurrence.deadline - c.now).Milliseconds(), "workers", workers.String())
}

func (c *Cell) logStepDone(s *step) {
	c.log(event.StepDone, "work", s.work.spec.Id, "step", s.number, "occurrence", s.occurrence.number, "tasks", len(s.tasks),
		"cpu_millis", s.size.CPUMillis, "accelerators", s.size.Accelerators,
		"advised_after_ms", sinceStart(s, s.advisedAt), "placed_after_ms", sinceStart(s, s.firstPlacedAt), "last_placed_after_ms", sinceStart(s, s.lastPlacedAt),
		"took_ms", c.sinceMs(s.readyAt), "longest_ms", s.longestRun.Milliseconds(), "estimate_ms", s.spec.EstimateMs)
}

// sinceStart returns the milliseconds from when a step was ready to a boot time, -1 if the
// time is not set.
func sinceStart(s *step, at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (at - s.readyAt).Milliseconds()
}

// logOccurrence logs the time that an occurrence took and its objective.
func (c *Cell) logOccurrence(aw *activeWork, o *occurrence) {
	e := event.OccurrenceInTime
	if c.now > o.deadline {
		e = event.OccurrenceLate
	}
	c.log(e, "work", aw.spec.Id, "occurrence", o.number, "queue", aw.spec.Queue, "team", aw.team.name,
		"took_ms", c.sinceMs(o.due), "objective_ms", (o.deadline - o.due).Milliseconds())
}

// logRestart logs what was sent to the earlier incarnation of a worker without an answer.
func (c *Cell) logRestart(old *worker, next WorkerRef) {
	ack := old.lastUnansweredAck()
	c.log(event.WorkerRestarted, "worker", next.ID, "incarnation", next.IncarnationUnixMs, "earlier_incarnation", old.info.IncarnationUnixMs,
		"runs", len(old.runs), "starts_unanswered", len(old.unansweredStarts), "polls_pending", len(old.polls),
		"ends_read", old.processedEnd, "acked", old.acked, "ack_unanswered", ack.number, "ack_unanswered_ms", c.sinceMs(ack.sentAt),
		"report_age_ms", c.sinceMs(old.reportedAt), "listed", old.listed)
}

// logForgottenEnds logs that the ends of a worker up to one that it has listed are missing.
func (c *Cell) logForgottenEnds(w *worker, listed int) {
	c.log(event.EndsForgotten, "worker", w.info.ID, "incarnation", w.info.IncarnationUnixMs, "first_missing", w.processedEnd+1, "first_listed", listed,
		"acked", w.acked, "earlier_ack", w.earlierAck.number, "earlier_ack_ms", c.sinceMs(w.earlierAck.sentAt))
}
