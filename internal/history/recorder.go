package history

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
)

// maxLineBytes is the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Recorder collects records. It is safe for concurrent use. A nil Recorder drops
// all records.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	seq     int64
	records []Record
	encoder *json.Encoder // nil if records are kept in memory
	err     error

	lastAccepted int // highest configuration version recorded as accepted
}

// NewRecorder returns a recorder that keeps its records in memory.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// NewStreamRecorder returns a recorder that writes its records to w and keeps none in
// memory.
func NewStreamRecorder(w io.Writer) *Recorder {
	return &Recorder{start: time.Now(), encoder: json.NewEncoder(w)}
}

// Now returns the time since the start of the recorder, as used in Started and At.
func (r *Recorder) Now() time.Duration {
	if r == nil {
		return 0
	}
	return time.Since(r.start)
}

// Add stores rec with the current time and the next sequence number.
func (r *Recorder) Add(rec Record) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	rec.Seq = r.seq
	rec.At = time.Since(r.start)
	if r.encoder == nil {
		r.records = append(r.records, rec)
		return
	}
	if err := r.encoder.Encode(rec); err != nil && r.err == nil {
		r.err = errors.Wrap(err, "write the history")
	}
}

// RecordConfiguration records that a configuration version was accepted. If two
// operators apply changes, the one with the lower version may learn of its acceptance
// after the other. The lower version is then not recorded, since it has already been
// replaced.
func (r *Recorder) RecordConfiguration(version int, c *api.Configuration) {
	if !r.recordAccepted(version) {
		return
	}
	r.Add(Record{Kind: ConfigAccepted, Version: version})
	for _, q := range c.Queues {
		r.Add(Record{Kind: QueueDefined, Version: version, Queue: q.Name, Team: q.Team, Open: q.Open, Idempotent: q.Idempotent})
	}
	for _, t := range c.Teams {
		r.Add(Record{Kind: TeamLimit, Version: version, Team: t.Name, Resources: t.Limit})
	}
}

// recordAccepted stores version as the last accepted one and reports whether it is
// higher than all earlier versions.
func (r *Recorder) recordAccepted(version int) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.lastAccepted {
		return false
	}
	r.lastAccepted = version
	return true
}

// Records returns a copy of the records kept in memory, in order.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.records...)
}

// RecordsAfter returns a copy of the records kept in memory whose sequence number
// is higher than seq, in order.
func (r *Recorder) RecordsAfter(seq int64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.records[min(seq, int64(len(r.records))):]...)
}

// Err returns the first write error.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Write writes records as JSON lines.
func Write(w io.Writer, records []Record) error {
	out := json.NewEncoder(w)
	for _, rec := range records {
		if err := out.Encode(rec); err != nil {
			return errors.Wrapf(err, "write record %d", rec.Seq)
		}
	}
	return nil
}

// Read reads records from JSON lines.
func Read(in io.Reader) ([]Record, error) {
	var records []Record
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for line := 1; s.Scan(); line++ {
		var rec Record
		if err := json.Unmarshal(s.Bytes(), &rec); err != nil {
			return nil, errors.Wrapf(err, "decode the record on line %d", line)
		}
		records = append(records, rec)
	}
	return records, errors.Wrap(s.Err(), "read the history")
}
