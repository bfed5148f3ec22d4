package cell

import (
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Bounds of one commit, below those of the table service, which also has to take
// the row of the ownership.
const (
	maxBatchEntries  = 96
	maxBatchBytes    = 600 << 10 // of the values, before they are encoded as text
	maxEntriesOfWork = 3
)

// Rows is what a commit writes about one work. At most one of Progress and
// Finished is set.
type Rows struct {
	ID       string
	Work     *api.WorkRow     // set the first time
	Progress *api.ProgressRow // not finished yet, or still with runs to be stopped
	Finished *api.ProgressRow // replaces the other rows
}

// entries returns how many entries of a transaction the rows take.
func (r *Rows) entries() int {
	switch {
	case r.Finished != nil:
		return 3 // the other two rows are removed
	case r.Work != nil:
		return 2
	}
	return 1
}

// bytes estimates the size of the values.
func (r *Rows) bytes() int {
	n := 0
	if r.Work != nil {
		n += r.Work.Msgsize()
	}
	if r.Progress != nil {
		n += r.Progress.Msgsize()
	}
	return n
}

// Batch is what the next commit writes and what may be told and done after it.
type Batch struct {
	Rows    []Rows
	Forget  []string // finished works whose record is removed
	jobs    []*job
	states  []api.WorkState
	starts  []*run
	acks    []ack
	answers []answer
}

type ack struct {
	worker *worker
	number int
}

// Empty reports whether the batch has nothing to write.
func (b *Batch) Empty() bool { return len(b.Rows) == 0 && len(b.Forget) == 0 }

// TakeBatch returns the next batch, nil if nothing has to be written. Only one
// batch may be on its way at a time.
func (c *Cell) TakeBatch() *Batch {
	c.collectExpired()
	if len(c.dirtyList) == 0 && len(c.expired) == 0 && len(c.answers) == 0 && !c.endsWait() {
		return nil
	}
	b := &Batch{}
	c.sortDirty()
	n := 0
	entries, size := 0, 0
	for n < len(c.dirtyList) {
		j := c.dirtyList[n]
		rows := c.rowsOf(j)
		entries += rows.entries()
		size += rows.bytes()
		if entries > maxBatchEntries || (size > maxBatchBytes && n > 0) {
			entries -= rows.entries()
			break
		}
		n++
		delete(c.dirty, j.spec.Id)
		b.add(j, rows)
	}
	c.dirtyList = append(c.dirtyList[:0:0], c.dirtyList[n:]...)
	b.answers = c.takeAnswers()
	if len(c.dirtyList) == 0 {
		b.acks = c.takeAcks() // ends may concern any work
	}
	forget := min(len(c.expired), maxBatchEntries-entries)
	b.Forget = append(b.Forget, c.expired[:forget]...)
	c.expired = c.expired[forget:]
	return b
}

// sortDirty puts the records that somebody waits for first if not all may fit into the
// next commit, which happens while the store is slow. The others may wait for a while:
// they say which tasks have ended, and the workers list those ends until they are
// written.
func (c *Cell) sortDirty() {
	if len(c.dirtyList)*maxEntriesOfWork <= maxBatchEntries {
		return
	}
	awaited := make([]*job, 0, len(c.dirtyList))
	var others []*job
	for _, j := range c.dirtyList {
		if c.recordAwaited(j) {
			awaited = append(awaited, j)
		} else {
			others = append(others, j)
		}
	}
	c.dirtyList = append(awaited, others...)
}

// maxRecordDelay is how long a record may wait behind others that are awaited.
const maxRecordDelay = time.Second

// recordAwaited reports whether a caller or a start waits for the record of a work, or
// the record has waited for long.
func (c *Cell) recordAwaited(j *job) bool {
	if !j.stored || ended(j.state) || c.now-j.dirtyAt > maxRecordDelay {
		return true
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			if s.recording() {
				return true
			}
		}
	}
	return false
}

// recording reports whether a start of the step waits for the record.
func (s *step) recording() bool {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.phase == runRecording {
				return true
			}
		}
	}
	return false
}

// takeAnswers returns the answers that wait for no record beyond the batch that is
// being taken.
func (c *Cell) takeAnswers() []answer {
	var out []answer
	kept := c.answers[:0:0]
	for _, a := range c.answers {
		if _, waits := c.dirty[a.job.spec.Id]; waits {
			kept = append(kept, a)
		} else {
			out = append(out, a)
		}
	}
	c.answers = kept
	return out
}

func (c *Cell) endsWait() bool {
	for _, w := range c.fleet {
		if w.pendingAck > w.acked && !w.gone {
			return true
		}
	}
	return false
}

func (c *Cell) takeAcks() []ack {
	var out []ack
	for _, w := range c.fleet {
		if w.pendingAck > w.acked {
			out = append(out, ack{w, w.pendingAck})
		}
	}
	return out
}

// rowsOf returns what has to be written about a work.
func (c *Cell) rowsOf(j *job) Rows {
	rows := Rows{ID: j.spec.Id}
	if ended(j.state) && j.runs == 0 {
		rows.Finished = &api.ProgressRow{
			State: j.state, Team: j.spec.Team, Queue: j.spec.Queue,
			FinishedUnixMs: int(j.finishedAt.UnixMilli()),
		}
		return rows
	}
	rows.Progress = c.progressRow(j)
	if !j.stored {
		rows.Work = &api.WorkRow{Work: *j.spec, AcceptedUnixMs: int(j.acceptedMs), Terms: termsOf(j.queue)}
	}
	return rows
}

// add adds the rows of a work and the starts that wait for them.
func (b *Batch) add(j *job, rows Rows) {
	b.Rows = append(b.Rows, rows)
	j.inBatch = true
	b.jobs = append(b.jobs, j)
	b.states = append(b.states, j.state)
	for _, o := range j.occs {
		for _, s := range o.steps {
			for i := range s.tasks {
				b.addStarts(&s.tasks[i])
			}
		}
	}
}

func (b *Batch) addStarts(t *task) {
	for _, r := range t.runs {
		if r.phase == runRecording {
			b.starts = append(b.starts, r)
		}
	}
}

// progressRow returns the record of the progress of a work.
func (c *Cell) progressRow(j *job) *api.ProgressRow {
	row := &api.ProgressRow{State: j.state, Team: j.spec.Team, Queue: j.spec.Queue, Started: j.started}
	if ended(j.state) {
		row.FinishedUnixMs = int(j.finishedAt.UnixMilli())
	}
	for n := range j.doneOccs {
		row.DoneOccurrences = append(row.DoneOccurrences, n)
	}
	sort.Ints(row.DoneOccurrences)
	for _, o := range j.occs {
		for _, s := range o.steps {
			if bits := s.doneBits(); bits != nil {
				row.Done = append(row.Done, api.DoneTasks{Occurrence: o.number, Step: s.number, Bits: bits})
			}
			for i := range s.tasks {
				row.Tasks = appendProgress(row.Tasks, &s.tasks[i])
			}
		}
	}
	return row
}

// doneBits returns one bit for each task that is done, nil if none is.
func (s *step) doneBits() []byte {
	if s.open == len(s.tasks) {
		return nil
	}
	bits := make([]byte, (len(s.tasks)+7)/8)
	for i := range s.tasks {
		if s.tasks[i].phase == taskDone {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// appendProgress appends the record of a task, one entry for each run of it.
func appendProgress(out []api.TaskProgress, t *task) []api.TaskProgress {
	if t.attempt == 0 || t.phase == taskDone && len(t.runs) == 0 {
		return out
	}
	p := api.TaskProgress{
		Occurrence: t.step.occ.number, Step: t.step.number, Index: t.index,
		Phase: api.TaskPhaseWaiting, Attempt: t.attempt, Failures: t.failures, Checkpoint: t.checkpoint,
	}
	if t.step.spec.Gang {
		p.Failures = t.step.failures
	}
	for _, r := range t.runs {
		e := p
		e.Phase = api.TaskPhasePlaced
		e.Attempt = r.attempt
		e.Worker, e.BornUnixMs = r.worker.info.ID, r.worker.info.BornUnixMs
		out = append(out, e)
	}
	if len(t.runs) > 0 {
		return out
	}
	return append(out, p)
}

// Committed notes that a batch is stored, and emits what waited for it.
func (c *Cell) Committed(b *Batch) {
	for i, j := range b.jobs {
		c.jobStored(j, b.states[i], b.Rows[i].Finished != nil)
	}
	for _, r := range b.starts {
		if r.phase == runRecording && !r.ended {
			c.startRecorded(r)
		}
	}
	for _, a := range b.acks {
		a.worker.acked = max(a.worker.acked, a.number)
	}
	for _, id := range b.Forget {
		delete(c.finished, id)
	}
	for _, a := range b.answers {
		a.done(nil)
	}
}

// jobStored notes that the record of a work is written with the state.
func (c *Cell) jobStored(j *job, state api.WorkState, finished bool) {
	j.stored, j.inBatch = true, false
	j.storedState = state
	if state == api.WorkStateCanceled {
		c.stopAll(j, "the work was canceled")
	}
	if !finished {
		return
	}
	c.finished[j.spec.Id] = finishedWork{
		state: state, team: j.spec.Team, queue: j.spec.Queue,
		until: j.finishedAt.Add(c.opts.StatusRetention),
	}
	c.order = append(c.order, j.spec.Id)
	delete(c.jobs, j.spec.Id)
}

// NotCommitted notes that the store has certainly not applied a batch. Works that
// were handed in with it, or since, are refused: their submitters may try again.
func (c *Cell) NotCommitted(b *Batch, reason error) {
	for _, j := range b.jobs {
		j.inBatch = false
		c.mark(j)
	}
	c.answers = append(b.answers, c.answers...)
	c.RefuseUnstored(reason)
}

// RefuseUnstored refuses the works that no commit has been tried for.
func (c *Cell) RefuseUnstored(reason error) {
	kept := c.answers[:0:0]
	for _, a := range c.answers {
		if !a.submission || a.job.stored || a.job.inBatch {
			kept = append(kept, a)
			continue
		}
		c.forgetUnstored(a.job)
		a.done(reason)
	}
	c.answers = kept
}

// forgetUnstored removes a work that was never stored.
func (c *Cell) forgetUnstored(j *job) {
	if c.jobs[j.spec.Id] != j {
		return
	}
	c.stopAll(j, "the work could not be stored")
	delete(c.jobs, j.spec.Id)
	delete(c.dirty, j.spec.Id)
	for i := range c.dirtyList {
		if c.dirtyList[i] == j {
			c.dirtyList = append(c.dirtyList[:i], c.dirtyList[i+1:]...)
			break
		}
	}
	j.state = api.WorkStateCanceled
}

// Abandon answers everything that waits for a commit when the owner gives the
// cell up: with notRun what was certainly not stored, else with unknown.
func (c *Cell) Abandon(b *Batch, notRun, unknown error) {
	c.RefuseUnstored(notRun)
	answers := c.answers
	if b != nil {
		answers = append(b.answers, answers...)
	}
	c.answers = nil
	for _, a := range answers {
		a.done(unknown)
	}
}

// collectExpired finds finished works whose record may go.
func (c *Cell) collectExpired() {
	for len(c.order) > 0 {
		f, ok := c.finished[c.order[0]]
		if ok && c.wall.Before(f.until) {
			return
		}
		if ok {
			c.expired = append(c.expired, c.order[0])
		}
		c.order = c.order[1:]
	}
}
