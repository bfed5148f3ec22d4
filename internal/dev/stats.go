package dev

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

const (
	maxWaitMicros     = int64(10 * time.Minute / time.Microsecond)
	histogramSigFigs  = 3
	microsPerMilliSec = 1000.0
)

// queueStats sums up the work of one queue as its callers saw it.
type queueStats struct {
	offered int
	done    int // requests with a whole answer, or jobs that ended
	onTime  int
	failed  map[errkind.Kind]int
	waiting *hdrhistogram.Histogram // microseconds
	jobs    []string                // accepted job IDs
}

// stats sums up the work of all queues.
type stats struct {
	mu     sync.Mutex
	queues map[string]*queueStats
}

func newStats() *stats { return &stats{queues: map[string]*queueStats{}} }

// of returns the entry of a queue; s.mu must be held.
func (s *stats) of(queue string) *queueStats {
	q, ok := s.queues[queue]
	if !ok {
		q = &queueStats{failed: map[errkind.Kind]int{}, waiting: hdrhistogram.New(1, maxWaitMicros, histogramSigFigs)}
		s.queues[queue] = q
	}
	return q
}

func (q *queueStats) wait(d time.Duration) {
	micros := min(max(d.Microseconds(), 1), maxWaitMicros)
	_ = q.waiting.RecordValue(micros) // the value is within the range of the histogram
}

func (s *stats) requestDone(queue string, waiting time.Duration, onTime bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.of(queue)
	q.offered++
	q.done++
	if onTime {
		q.onTime++
	}
	q.wait(waiting)
}

func (s *stats) requestFailed(queue string, kind errkind.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.of(queue)
	q.offered++
	q.failed[kind]++
}

func (s *stats) jobAccepted(queue, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.of(queue)
	q.offered++
	q.jobs = append(q.jobs, id)
}

// jobSeen counts an accepted job by its row at the end of the run. A job is done
// when it has ended well, a service when all its tasks run; its waiting time is
// that from submission to the start of its last task in the first attempt.
func (s *stats) jobSeen(row api.JobRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.of(row.Spec.Queue)
	if wellEnded(row) {
		q.done++
		q.onTime++
	}
	if started := lastStart(row); started > 0 {
		q.wait(time.Duration(started-row.SubmittedUnixMs) * time.Millisecond)
	}
}

func lastStart(row api.JobRow) int {
	last := 0
	for _, task := range row.Tasks {
		if task.StartedUnixMs == 0 {
			return 0
		}
		last = max(last, task.StartedUnixMs)
	}
	return last
}

// totals returns the sums over all queues for the progress line.
func (s *stats) totals() (offered, done, failed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		offered += q.offered
		done += q.done
		for _, n := range q.failed {
			failed += n
		}
	}
	return offered, done, failed
}

// writeQueues prints the table of queues.
func (s *stats) writeQueues(w io.Writer, queues []api.Queue) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "queue\tclass\turgency\toffered\tdone\ton time %\twait p50 ms\twait p99 ms\tnot done\t")
	for _, q := range queues {
		row := s.of(q.Name)
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t\n", q.Name, q.Class, q.Urgency, row.offered, row.done,
			percent(row.onTime, row.offered), row.quantile(50), row.quantile(99), row.failures())
	}
	return table.Flush()
}

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", 100*float64(part)/float64(whole))
}

func (q *queueStats) quantile(p float64) string {
	if q.waiting.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(q.waiting.ValueAtQuantile(p))/microsPerMilliSec)
}

func (q *queueStats) failures() string {
	if len(q.failed) == 0 {
		return "-"
	}
	var parts []string
	for kind, n := range q.failed {
		parts = append(parts, fmt.Sprintf("%s %d", kind, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
