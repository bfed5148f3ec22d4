package election

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/clock"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// output is what a failed test prints: the log of all nodes, and the longest time for which
// the test got no processor while it waited.
type output struct {
	mu           sync.Mutex
	log          bytes.Buffer
	longestPause time.Duration
}

// Write appends a line of the log.
func (o *output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.log.Write(line)
}

// logger returns the logger of one node. Its lines start with the boot time.
func (o *output) logger(node string, c clock.Clock) log.Logger {
	at := log.Valuer(func() any { return c.Boot().Round(time.Millisecond) })
	return log.With(log.NewLogfmtLogger(o), "at", at, "on", node)
}

// poll waits for pollInterval.
func (o *output) poll() {
	began := time.Now()
	time.Sleep(pollInterval)
	o.longestPause = max(o.longestPause, time.Since(began)-pollInterval)
}

func (o *output) printIfFailed(t *testing.T) {
	if !t.Failed() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.Logf("longest pause while waiting: %v; logs of the nodes:\n%s", o.longestPause, o.log.String())
}
