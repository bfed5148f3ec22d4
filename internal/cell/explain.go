package cell

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

// maxExplainedWorkers is the number of workers that an answer lists over all steps, so that it
// doesn't fill a narrow link of the owner. The first step always has its list.
const maxExplainedWorkers = 1024

// exclusionNames are the names of the reasons in an explanation, which are those of the counts
// in the log of a waiting step.
var exclusionNames = [exclusionKinds]string{
	excludedEvacuationsUnknown: "evacuations_unknown",
	excludedUnlisted:           "unlisted",
	excludedEvacuated:          "evacuated",
	excludedUnresponsive:       "unresponsive",
	excludedQuarantined:        "quarantined",
	excludedPaused:             "paused",
	excludedUnsuitable:         "unsuitable",
	excludedNotQueried:         "not_queried",
	excludedNotPermitted:       "not_permitted",
	excludedNoRoom:             "no_room",
	excludedReserved:           "reserved",
	excludedTicketExpired:      "ticket_expired",
	notExcluded:                "",
}

// Explain tells where the tasks of a valid work would be placed now, and whether it would be
// refused. It changes nothing: it works on copies of all that a decision changes.
func (c *Cell) Explain(spec *api.WorkSpec) (*api.ExplainAnswer, error) {
	if c.config.Version == 0 {
		return nil, errkind.New(errkind.OwnerUnavailable, "", "the owner of the cell has no configuration yet")
	}
	q := c.config.Queues[spec.Queue]
	if q == nil {
		return nil, errkind.New(errkind.NotFound, "queue", "queue %q does not exist", spec.Queue)
	}
	if spec.Team != "" && c.config.Teams[spec.Team] == nil {
		return nil, errkind.New(errkind.NotFound, "team", "team %q does not exist", spec.Team)
	}
	out := &api.ExplainAnswer{ConfigVersion: c.config.Version, Pool: q.Pool}
	admission := c.explainAdmission(spec, q)
	if admission.refusal != nil {
		out.Refusal = admission.refusal.Error()
	}
	out.AdviceWaitMs = int(admission.adviceWait.Milliseconds())
	out.Steps = c.newTrial(spec, q, admission.beyondRate).explainSteps()
	return out, nil
}

// explainedAdmission is what a submission of a work would lead to now.
type explainedAdmission struct {
	refusal    error
	beyondRate bool
	adviceWait time.Duration // expected until the first answer of the adviser; 0 if none is needed
}

// explainAdmission returns what Submit would decide.
func (c *Cell) explainAdmission(spec *api.WorkSpec, q *work.Queue) explainedAdmission {
	scratch := c.scratchCopy()
	t := scratch.teams[spec.Team]
	if t == nil {
		t = &team{name: spec.Team}
	}
	aw := newActiveWork(spec, q, t)
	bucket := t.bucket // a copy
	out := explainedAdmission{beyondRate: !bucket.takeToken(scratch.now, t.submitRate)}
	out.refusal = cmp.Or(scratch.checkRecordable(aw), scratch.checkAdvice(aw))
	if out.refusal == nil && out.beyondRate && scratch.saturated(q.Pool) {
		out.refusal = errBeyondRate(spec.Team)
	}
	if q.Advice != nil {
		out.adviceWait = scratch.adviceWaitOf(aw).wait + scratch.firstCallTime(&step{work: aw})
	}
	return out
}

// scratchCopy returns a shallow copy of the cell with its own counters, log lines and sums of
// the advice demand. What it points to belongs to the cell and must not be changed.
func (c *Cell) scratchCopy() *Cell {
	p := *c
	p.logLines, p.unloggedRuns, p.answers = nil, nil, nil
	p.effects = Effects{}
	return &p
}

// explainSteps explains the steps of the work.
func (t *trial) explainSteps() []api.ExplainStep {
	out := make([]api.ExplainStep, len(t.occurrence.steps))
	explained := make([]bool, len(out))
	for _, s := range t.readySteps() { // in the order of a pass: each takes up room of the next ones
		out[s.number], explained[s.number] = t.explainReadyStep(s), true
	}
	t.reset()
	for i, s := range t.occurrence.steps {
		if !explained[i] {
			out[i] = t.explainBlockedStep(s)
		}
	}
	listed := 0
	for i := range out {
		if i > 0 && listed+len(out[i].Workers) > maxExplainedWorkers {
			out[i].Workers = nil
		}
		listed += len(out[i].Workers)
	}
	return out
}

// explainReadyStep explains a step whose tasks could be placed now, and takes up their room.
func (t *trial) explainReadyStep(s *step) api.ExplainStep {
	candidates, workers := t.evaluate(s)
	placed, shortage := t.place(s, candidates)
	var waits []string
	if t.advised {
		waits = append(waits, "scheduling advice")
	}
	if placed < len(s.tasks) {
		waits = append(waits, shortage)
	}
	return api.ExplainStep{
		Step: s.number, Placeable: placed, PredictedMs: t.predictedMs(s), Workers: workers, WaitsFor: strings.Join(waits, "; "),
	}
}

// explainBlockedStep explains a step whose tasks can't be placed before its work starts or
// earlier steps are done. Its workers are evaluated as they are now.
func (t *trial) explainBlockedStep(s *step) api.ExplainStep {
	_, workers := t.evaluate(s)
	var waits []string
	if t.startsLater {
		waits = append(waits, "the start of its first occurrence")
	}
	if n := len(s.spec.After); n > 0 {
		numbers := make([]string, n)
		for i, a := range s.spec.After {
			numbers[i] = strconv.Itoa(a)
		}
		waits = append(waits, "the end of step "+strings.Join(numbers, ", "))
	}
	if t.advised {
		waits = append(waits, "scheduling advice")
	}
	return api.ExplainStep{Step: s.number, PredictedMs: t.predictedMs(s), Workers: workers, WaitsFor: strings.Join(waits, "; ")}
}

// predictedMs returns the predicted run time of a task in milliseconds, 0 for one that runs until
// its work is canceled.
func (t *trial) predictedMs(s *step) int {
	if s.spec.LongRunning {
		return 0
	}
	return int(t.cell.taskTime(s).Milliseconds())
}

// evaluate returns the workers that could take a task of the step, in the order of the fleet,
// and all workers for the answer: the candidates by score, then the others by the reason that
// excludes them.
func (t *trial) evaluate(s *step) ([]candidate, []api.ExplainWorker) {
	t.keepReservationsFor(s)
	var candidates []candidate
	var excluded [exclusionKinds][]api.ExplainWorker
	for _, w := range t.cell.fleet {
		e := t.exclusionOf(s, w)
		entry := api.ExplainWorker{
			Worker: w.info.ID, FailureDomain: w.info.FailureDomain, Rack: w.info.Rack, Free: apiResources(w.free()), ExcludedBy: exclusionNames[e],
		}
		if e == notExcluded {
			entry.Fits, entry.Score = t.fits(s, w), t.cell.score(s, w)
			candidates = append(candidates, candidate{worker: w, left: entry.Fits, score: entry.Score})
		}
		excluded[e] = append(excluded[e], entry)
	}
	workers := excluded[notExcluded]
	slices.SortStableFunc(workers, func(a, b api.ExplainWorker) int { return cmp.Compare(b.Score, a.Score) })
	for e := range notExcluded {
		workers = append(workers, excluded[e]...)
	}
	return candidates, workers
}

// apiResources converts resources to the schema type.
func apiResources(r work.Resources) api.Resources {
	return api.Resources{CpuMillis: r.CPUMillis, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}
