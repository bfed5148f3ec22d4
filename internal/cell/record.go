package cell

import (
	"slices"
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Bounds of a commit. They leave room within the limits of the table service for the
// ownership row.
const (
	maxBatchEntries   = 96
	maxBatchBytes     = 600 << 10 // of the row values, before they are encoded as text
	maxEntriesPerWork = 3
)

// Rows are the rows that a commit writes for a work. At most one of Progress and Finished
// is set.
type Rows struct {
	ID       string
	Work     *api.WorkRow       // set in the first commit of the work
	Progress []*api.ProgressRow // parts; set while the work is unfinished or still has runs
	Finished *api.ProgressRow   // replaces the other rows
	// StoredParts is how many parts of the progress the table service may have. Those beyond
	// Progress are removed.
	StoredParts int
}

// RemovedParts returns how many parts of the progress are removed.
func (r *Rows) RemovedParts() int { return max(0, r.StoredParts-len(r.Progress)) }

// entries returns the number of transaction entries that the rows take.
func (r *Rows) entries() int {
	n := len(r.Progress) + r.RemovedParts()
	if r.Work != nil {
		n++
	}
	if r.Finished != nil {
		n += 2 // it is written, and the work row is deleted
	}
	return n
}

// bytes estimates the size of the row values.
func (r *Rows) bytes() int {
	n := 0
	if r.Work != nil {
		n += r.Work.Msgsize()
	}
	return n + progressBytes(r.Progress)
}

// Batch holds the changes of a commit, and the starts, acknowledgments and answers that
// wait for it.
type Batch struct {
	Rows    []Rows
	Expired []string // finished works whose record is deleted
	// LeaseEnds are the entries of the row of lease ends if WritesLeaseEnds is set.
	LeaseEnds       []LeaseEnd
	WritesLeaseEnds bool

	works   []*activeWork
	states  []api.WorkState
	starts  []*run
	acks    []ack
	answers []pendingAnswer
}

// ack is an acknowledgment of the ends of a worker up to a number.
type ack struct {
	worker *worker
	number int
}

// unackedEnd is the end of a run that is not acknowledged yet. It changes the record of
// one work at most.
type unackedEnd struct {
	number  int
	work    string // ID of the work
	task    string
	attempt int
}

// Empty reports whether the batch writes no rows.
func (b *Batch) Empty() bool { return len(b.Rows) == 0 && len(b.Expired) == 0 && !b.WritesLeaseEnds }

// TakeBatch returns the next batch, or nil if nothing waits for a commit. Only one batch
// may be in flight at a time.
func (c *Cell) TakeBatch() *Batch {
	c.collectExpired()
	b := &Batch{}
	c.takeLeaseEnds(b)
	if b.WritesLeaseEnds && c.leaseEnds.alone {
		return b
	}
	held := c.holdRejectedRecords()
	c.putAwaitedFirst()
	n := 0
	entries, size := 0, 0
	for n < len(c.dirtyList) {
		aw := c.dirtyList[n]
		rows := c.rowsOf(aw)
		entries += rows.entries()
		size += rows.bytes()
		if entries > maxBatchEntries || (size > maxBatchBytes && n > 0) || c.singleCommits > 0 && n > 0 {
			entries -= rows.entries()
			break
		}
		n++
		delete(c.dirty, aw.spec.Id)
		b.add(aw, rows)
	}
	c.dirtyList = append(held, c.dirtyList[n:]...)
	b.answers = c.takeAnswers()
	b.acks = c.takeAcks()
	count := min(len(c.expired), maxBatchEntries-entries)
	b.Expired = append(b.Expired, c.expired[:count]...)
	c.expired = c.expired[count:]
	if b.Empty() && len(b.answers) == 0 && len(b.acks) == 0 {
		return nil
	}
	return b
}

// holdRejectedRecords removes the works from the list of unwritten records that must wait,
// and returns them.
func (c *Cell) holdRejectedRecords() []*activeWork {
	var held []*activeWork
	c.dirtyList = slices.DeleteFunc(c.dirtyList, func(aw *activeWork) bool {
		if aw.recordNotBefore <= c.now {
			return false
		}
		held = append(held, aw)
		return true
	})
	return held
}

// putAwaitedFirst moves the records that a caller or a start waits for to the front if
// not all records may fit into the next commit, as happens while the store is slow. The
// others may wait: they record only ends of runs, which the workers report until they
// are acknowledged.
func (c *Cell) putAwaitedFirst() {
	if len(c.dirtyList)*maxEntriesPerWork <= maxBatchEntries {
		return
	}
	awaited := make([]*activeWork, 0, len(c.dirtyList))
	var others []*activeWork
	for _, aw := range c.dirtyList {
		if c.recordAwaited(aw) {
			awaited = append(awaited, aw)
		} else {
			others = append(others, aw)
		}
	}
	c.dirtyList = append(awaited, others...)
}

// maxRecordWait is how long records that nobody waits for yield to others.
const maxRecordWait = time.Second

// recordAwaited reports whether a caller or a start waits for the record of a work, or
// the record has waited longer than maxRecordWait.
func (c *Cell) recordAwaited(aw *activeWork) bool {
	if !aw.stored || isTerminal(aw.state) || c.now-aw.dirtyAt > maxRecordWait {
		return true
	}
	for _, o := range aw.occurrences {
		for _, s := range o.steps {
			if s.awaitsRecord() {
				return true
			}
		}
	}
	return false
}

// awaitsRecord reports whether a start of the step waits for the record of the work.
func (s *step) awaitsRecord() bool {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.phase == runRecording {
				return true
			}
		}
	}
	return false
}

// takeAnswers removes and returns the answers whose work has no change left for a later
// batch.
func (c *Cell) takeAnswers() []pendingAnswer {
	var out []pendingAnswer
	kept := c.answers[:0:0]
	for _, a := range c.answers {
		if _, waiting := c.dirty[a.work.spec.Id]; waiting {
			kept = append(kept, a)
		} else {
			out = append(out, a)
		}
	}
	c.answers = kept
	return out
}

// takeAcks returns the acknowledgments of the ends that are recorded once the batch which
// is being taken is committed. They do not wait for the records of other works, because a
// worker reports no further end before: while more records wait than a batch holds, the
// room of ended runs would stay charged.
func (c *Cell) takeAcks() []ack {
	var out []ack
	for _, w := range c.fleet {
		if n := c.recordedThrough(w); n > w.acked {
			out = append(out, ack{w, n})
		}
	}
	return out
}

// recordedThrough returns the number up to which no end of a worker changes a record that
// a later batch writes, and no start of an ended run is on its way: a worker that restarts
// after the acknowledgment would run the task again.
func (c *Cell) recordedThrough(w *worker) int {
	number := w.acked
	for _, e := range w.unackedEnds {
		if _, waiting := c.dirty[e.work]; waiting || w.startCallPending(e.task, e.attempt, c.now) {
			break
		}
		number = e.number
	}
	return number
}

// acknowledge notes that the records of the ends up to a number are written.
func (w *worker) acknowledge(number int) {
	w.acked = max(w.acked, number)
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(e unackedEnd) bool { return e.number <= w.acked })
}

// rowsOf returns the rows to write for a work.
func (c *Cell) rowsOf(aw *activeWork) Rows {
	rows := Rows{ID: aw.spec.Id, StoredParts: aw.storedParts}
	if isTerminal(aw.state) && aw.runs == 0 {
		rows.Finished = &api.ProgressRow{
			State: aw.state, Team: aw.spec.Team, Queue: aw.spec.Queue,
			FinishedUnixMs: int(aw.finishedAt.UnixMilli()),
		}
		return rows
	}
	rows.Progress = splitProgress(c.progressRow(aw), c.maxRowBytes())
	aw.recordBytes = progressBytes(rows.Progress)
	aw.storedParts = max(aw.storedParts, len(rows.Progress))
	if !aw.stored {
		rows.Work = c.workRow(aw)
	}
	return rows
}

// workRow returns the work row of a work.
func (c *Cell) workRow(aw *activeWork) *api.WorkRow {
	return &api.WorkRow{Work: *aw.spec, AcceptedUnixMs: int(aw.acceptedMs), Terms: queueTerms(aw.queue)}
}

// add adds a work with its rows and the starts that wait for them.
func (b *Batch) add(aw *activeWork, rows Rows) {
	b.Rows = append(b.Rows, rows)
	aw.inBatch = true
	b.works = append(b.works, aw)
	b.states = append(b.states, aw.state)
	for _, o := range aw.occurrences {
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

// progressRow returns the progress row of a work.
func (c *Cell) progressRow(aw *activeWork) *api.ProgressRow {
	row := &api.ProgressRow{State: aw.state, Team: aw.spec.Team, Queue: aw.spec.Queue, Started: aw.started}
	if isTerminal(aw.state) {
		row.FinishedUnixMs = int(aw.finishedAt.UnixMilli())
	}
	for n := range aw.doneOccurrences {
		row.DoneOccurrences = append(row.DoneOccurrences, n)
	}
	sort.Ints(row.DoneOccurrences)
	for _, o := range aw.occurrences {
		for _, s := range o.steps {
			if bits := s.doneBits(); bits != nil {
				row.Done = append(row.Done, api.DoneTasks{Occurrence: o.number, Step: s.number, Bits: bits})
			}
			if s.failedAttempt > 0 {
				row.FailedGangs = append(row.FailedGangs, api.GangFailure{Occurrence: o.number, Step: s.number, Attempt: s.failedAttempt})
			}
			for i := range s.tasks {
				row.Tasks = appendProgress(row.Tasks, &s.tasks[i])
				row.InactiveTasks = c.appendInactive(row.InactiveTasks, &s.tasks[i])
			}
		}
	}
	if row.Msgsize() > maxRecordBytes {
		dropCheckpoints(row) // without them the tasks lose progress, but the record fits
	}
	return row
}

func dropCheckpoints(row *api.ProgressRow) {
	for i := range row.Tasks {
		row.Tasks[i].Checkpoint = ""
	}
}

// doneBits returns a bitmap of the done tasks, nil if there are none.
func (s *step) doneBits() []byte {
	if s.unfinished == len(s.tasks) {
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

// appendProgress appends the entries of a task that had an attempt: one for each of its runs, and
// one with the number of its last attempt if that one has ended.
func appendProgress(out []api.TaskProgress, t *task) []api.TaskProgress {
	if t.attempt == 0 || t.phase == taskDone && len(t.runs) == 0 {
		return out
	}
	p := api.TaskProgress{
		Occurrence: t.step.occurrence.number, Step: t.step.number, Index: t.index,
		Phase: api.TaskPhaseWaiting, Attempt: t.attempt, Failures: t.failures, Checkpoint: t.checkpoint,
	}
	if t.step.spec.Gang {
		p.Failures = t.step.failures
	}
	lastRuns := false
	for _, r := range t.runs {
		e := p
		e.Phase = api.TaskPhasePlaced
		e.Attempt = r.attempt
		e.Worker, e.BornUnixMs = r.worker.info.ID, r.incarnationUnixMs
		out = append(out, e)
		lastRuns = lastRuns || r.attempt == t.attempt
	}
	if !lastRuns && t.phase != taskDone {
		out = append(out, p)
	}
	return out
}
