package cell

import (
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Bounds of the record of one work. A work whose record does not fit is refused. An
// accepted one stays within the bounds whatever its tasks do: done tasks take one bit each,
// and only as many others are placed as the record has room for.
const (
	// maxRecordBytes bounds the rows of a work, which one transaction writes. It leaves room
	// for their keys and the ownership row.
	maxRecordBytes = 690_000
	// maxStartedBytes bounds the bitmaps of done tasks and the failed attempts of gangs, so that
	// those of occurrences in progress leave room for the tasks.
	maxStartedBytes = 150_000
	// maxDoneOccurrencesBytes bounds the numbers of the done occurrences of a work.
	maxDoneOccurrencesBytes = 90_000
	// usualWorkerID is the length of the IDs of workers for which gangs are admitted.
	usualWorkerID = 64
	// maxRowTextShare is the share of the longest row value that is used. The table service
	// takes values as base64 text, and its limit may count the text.
	maxRowTextShare = 0.74
)

// Bytes that the parts of a progress row take at most, without their texts. See the Msgsize
// methods of package api.
var (
	taskEntryBytes = (&api.TaskProgress{Phase: api.TaskPhaseWaiting}).Msgsize()
	doneEntryBytes = (&api.DoneTasks{}).Msgsize()
	gangEntryBytes = (&api.GangFailure{}).Msgsize()
)

// maxRowBytes returns how many bytes a row value may have before it is encoded as text.
func (c *Cell) maxRowBytes() int { return int(maxRowTextShare * float64(c.opts.MaxRowBytes)) }

// checkRecordable returns an error if the work row would exceed the limit of a row.
func (c *Cell) checkRecordable(aw *activeWork) error {
	size, limit := c.workRow(aw).Msgsize(), c.maxRowBytes()
	if size > limit {
		return errkind.New(errkind.InvalidArgument, "steps", "the work takes up to %d bytes in its record, allowed are %d", size, limit)
	}
	for i := range aw.spec.Steps {
		if s := &aw.spec.Steps[i]; s.Gang && s.Count > maxGangTasks() {
			return errkind.New(errkind.InvalidArgument, "count", "step %d is a gang of %d tasks, allowed are %d", i, s.Count, maxGangTasks())
		}
	}
	return nil
}

// maxGangTasks returns the number of tasks that a gang may have. They are placed together,
// so the record must have room for all of them beside the other parts.
func maxGangTasks() int {
	return (maxRecordBytes - maxStartedBytes - maxDoneOccurrencesBytes) / (taskEntryBytes + usualWorkerID)
}

// recordHasRoom reports whether the record of a work has room for that many more runs of
// a step.
func (c *Cell) recordHasRoom(s *step, runs int) bool {
	aw, o := s.work, s.occurrence
	if !o.started && aw.startedOccurrences > 0 && (aw.startedOccurrences+1)*o.doneBytes() > maxStartedBytes {
		return false
	}
	return aw.recordBytes+runs*(taskEntryBytes+c.longestWorkerID) <= maxRecordBytes
}

// doneBytes returns how many bytes the bitmaps of the done tasks of an occurrence, and the failed
// attempts of its gangs, take.
func (o *occurrence) doneBytes() int {
	n := 0
	for _, s := range o.steps {
		n += doneEntryBytes + (len(s.tasks)+7)/8
		if s.spec.Gang {
			n += gangEntryBytes
		}
	}
	return n
}

// begin notes that a task of the occurrence has been placed or done.
func (o *occurrence) begin(aw *activeWork) {
	if !o.started {
		o.started = true
		aw.startedOccurrences++
	}
}

// progressBytes returns how many bytes the parts of a progress row take together.
func progressBytes(parts []*api.ProgressRow) int {
	n := 0
	for _, p := range parts {
		n += p.Msgsize()
	}
	return n
}

// splitProgress splits a progress row into parts of at most limit bytes. All parts have the
// state, team and queue of the work.
func splitProgress(row *api.ProgressRow, limit int) []*api.ProgressRow {
	if row.Msgsize() <= limit {
		return []*api.ProgressRow{row}
	}
	s := &progressSplitter{header: *row, limit: limit}
	s.header.Tasks, s.header.Done, s.header.DoneOccurrences, s.header.FailedGangs = nil, nil, nil, nil
	s.header.InactiveTasks = nil
	for _, n := range row.DoneOccurrences {
		s.room(msgp.IntSize).DoneOccurrences = append(s.last().DoneOccurrences, n)
	}
	for _, d := range row.Done {
		s.room(d.Msgsize()).Done = append(s.last().Done, d)
	}
	for _, g := range row.FailedGangs {
		s.room(g.Msgsize()).FailedGangs = append(s.last().FailedGangs, g)
	}
	for _, t := range row.InactiveTasks {
		s.room(t.Msgsize()).InactiveTasks = append(s.last().InactiveTasks, t)
	}
	for _, t := range row.Tasks {
		s.room(t.Msgsize()).Tasks = append(s.last().Tasks, t)
	}
	return s.parts
}

// progressSplitter collects the parts of a progress row.
type progressSplitter struct {
	header api.ProgressRow
	limit  int
	parts  []*api.ProgressRow
	size   int // of the last part
}

func (s *progressSplitter) last() *api.ProgressRow { return s.parts[len(s.parts)-1] }

// room returns the last part, or a new one if the last one has no room for n more bytes.
func (s *progressSplitter) room(n int) *api.ProgressRow {
	if len(s.parts) == 0 || s.size+n > s.limit {
		part := s.header
		s.parts = append(s.parts, &part)
		s.size = part.Msgsize()
	}
	s.size += n
	return s.last()
}

// JoinProgress joins the parts of a progress row, in any order.
func JoinProgress(parts []*api.ProgressRow) *api.ProgressRow {
	row := *parts[0]
	for _, p := range parts[1:] {
		row.Started = row.Started || p.Started
		row.DoneOccurrences = append(row.DoneOccurrences, p.DoneOccurrences...)
		row.Done = append(row.Done, p.Done...)
		row.FailedGangs = append(row.FailedGangs, p.FailedGangs...)
		row.InactiveTasks = append(row.InactiveTasks, p.InactiveTasks...)
		row.Tasks = append(row.Tasks, p.Tasks...)
	}
	return &row
}
