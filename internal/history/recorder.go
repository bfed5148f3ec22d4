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

// maxLineBytes bounds a line of a history that is read.
const maxLineBytes = 1 << 20

// Recorder takes records from many goroutines. A nil Recorder drops them.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	seq     int64
	records []Record
	out     *json.Encoder // nil to keep records in memory
	err     error

	accepted int // highest version of the configuration recorded
}

// New returns a recorder that keeps its records in memory.
func New() *Recorder { return &Recorder{start: time.Now()} }

// NewWriter returns a recorder that writes its records to w and keeps none.
func NewWriter(w io.Writer) *Recorder {
	return &Recorder{start: time.Now(), out: json.NewEncoder(w)}
}

// Now returns the time for Started and At.
func (r *Recorder) Now() time.Duration {
	if r == nil {
		return 0
	}
	return time.Since(r.start)
}

// Add records rec with the present time and the next sequence number.
func (r *Recorder) Add(rec Record) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	rec.Seq = r.seq
	rec.At = time.Since(r.start)
	if r.out == nil {
		r.records = append(r.records, rec)
		return
	}
	if err := r.out.Encode(rec); err != nil && r.err == nil {
		r.err = errors.Wrap(err, "write the history")
	}
}

// Configuration records that a version of the configuration was accepted. Of two
// operators, the earlier one may learn of its acceptance later; its version is
// then left out, since the later version has replaced it.
func (r *Recorder) Configuration(version int, c *api.Configuration) {
	if !r.newest(version) {
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

// newest reports whether version is higher than all before.
func (r *Recorder) newest(version int) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.accepted {
		return false
	}
	r.accepted = version
	return true
}

// Records returns a copy of the records kept in memory, in order.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.records...)
}

// RecordsAfter returns a copy of the records kept in memory with a higher
// sequence number than seq, in order.
func (r *Recorder) RecordsAfter(seq int64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.records[min(seq, int64(len(r.records))):]...)
}

// Err returns the first error of writing.
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
			return nil, errors.Wrapf(err, "line %d", line)
		}
		records = append(records, rec)
	}
	return records, errors.Wrap(s.Err(), "read the history")
}
