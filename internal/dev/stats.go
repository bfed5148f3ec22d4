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
	maxWaitMicros    = int64(10 * time.Minute / time.Microsecond)
	histogramSigFigs = 3
	microsPerMilli   = 1000.0
)

// queueStats counts the work of one queue as its callers saw it.
type queueStats struct {
	offered   int
	done      int // requests with a complete answer, jobs that are done and running services
	onTime    int
	failed    map[errkind.Kind]int
	waitTimes *hdrhistogram.Histogram // microseconds
	jobs      []string                // accepted job IDs
}

// stats counts the work of all queues.
type stats struct {
	mu     sync.Mutex
	queues map[string]*queueStats
}

func newStats() *stats { return &stats{queues: map[string]*queueStats{}} }

// queue returns the statistics of a queue, added if missing. The caller must hold s.mu.
func (s *stats) queue(name string) *queueStats {
	q, ok := s.queues[name]
	if !ok {
		q = &queueStats{failed: map[errkind.Kind]int{}, waitTimes: hdrhistogram.New(1, maxWaitMicros, histogramSigFigs)}
		s.queues[name] = q
	}
	return q
}

func (q *queueStats) recordWait(d time.Duration) {
	micros := min(max(d.Microseconds(), 1), maxWaitMicros)
	_ = q.waitTimes.RecordValue(micros) // cannot fail: the value is within the range of the histogram
}

func (s *stats) requestDone(queue string, waiting time.Duration, onTime bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(queue)
	q.offered++
	q.done++
	if onTime {
		q.onTime++
	}
	q.recordWait(waiting)
}

// countFailure counts a request or job submission that failed after its last retry.
func (s *stats) countFailure(queue string, kind errkind.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(queue)
	q.offered++
	q.failed[kind]++
}

func (s *stats) jobAccepted(queue, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(queue)
	q.offered++
	q.jobs = append(q.jobs, id)
}

// countJob counts an accepted job by its state at the end of the run. A service
// counts as done while it is running. The wait time lasts from the submission until
// each task has started its first attempt.
func (s *stats) countJob(row api.JobRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(row.Spec.Queue)
	if succeeded(row) {
		q.done++
		q.onTime++
	}
	if started := lastTaskStart(row); started > 0 {
		q.recordWait(time.Duration(started-row.SubmittedUnixMs) * time.Millisecond)
	}
}

// lastTaskStart returns the time of the last start of a task in Unix milliseconds, or 0
// if a task has not started.
func lastTaskStart(row api.JobRow) int {
	last := 0
	for _, task := range row.Tasks {
		if task.StartedUnixMs == 0 {
			return 0
		}
		last = max(last, task.StartedUnixMs)
	}
	return last
}

// totals returns the sums over all queues, for the progress line.
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

// writeQueues writes the table of queues.
func (s *stats) writeQueues(w io.Writer, queues []api.Queue) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "queue\tclass\turgency\toffered\tdone\ton time %\twait p50 ms\twait p99 ms\tnot done\t")
	for _, q := range queues {
		row := s.queue(q.Name)
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
	if q.waitTimes.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(q.waitTimes.ValueAtQuantile(p))/microsPerMilli)
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
