package requests

import (
	"time"

	"github.com/endivehill/endivehill/internal/errkind"
)

// storeRetry is the time between attempts to record an intent while the table
// service fails.
const storeRetry = 500 * time.Millisecond

// storeState remembers that the table service fails. Non-idempotent requests are
// then refused at once, except for one at a time that tries again: each that
// waits for the table service holds a slot that idempotent requests could use.
type storeState struct {
	failing bool
	retryAt time.Duration // boot time
	probe   *call
}

// admits reports whether a non-idempotent call may be accepted.
func (s *storeState) admits(now time.Duration) bool {
	return !s.failing || s.probe == nil && now >= s.retryAt
}

func (s *storeState) admitted(c *call) {
	if s.failing {
		s.probe = c
	}
}

func (s *storeState) ended(c *call) {
	if s.probe == c {
		s.probe = nil
	}
}

// storeAnswered takes in the result of recording an intent. When the table
// service begins to fail, the non-idempotent calls that wait are refused.
func (s *control) storeAnswered(m storeMessage) {
	s.store.ended(m.call)
	if !m.failed {
		s.store.failing = false
		return
	}
	s.store.failing = true
	s.store.retryAt = s.now + storeRetry
	for _, c := range s.queues.recorded() {
		s.queues.remove(c)
		s.end(c, result{err: storeDown()})
	}
}

func storeDown() error {
	return errkind.New(errkind.StoreUnavailable, "", "the queue is not idempotent and the table service, which keeps its records, does not answer")
}
