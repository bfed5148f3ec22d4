package requests

import (
	"time"

	"github.com/endivehill/endivehill/internal/errkind"
)

// tableRetryInterval is the time between attempts to record an intent while the
// table service is failing.
const tableRetryInterval = 500 * time.Millisecond

// tableHealth tracks whether the table service is failing. Meanwhile
// non-idempotent requests are refused at once, except for one probe at a time:
// a request that waits for the table service holds a slot that idempotent
// requests could use.
type tableHealth struct {
	failing bool
	retryAt time.Duration // boot time
	probe   *inFlightRequest
}

// allowsNew reports whether a non-idempotent request may be accepted.
func (s *tableHealth) allowsNew(now time.Duration) bool {
	return !s.failing || s.probe == nil && now >= s.retryAt
}

func (s *tableHealth) setProbeIfFailing(c *inFlightRequest) {
	if s.failing {
		s.probe = c
	}
}

func (s *tableHealth) clearProbe(c *inFlightRequest) {
	if s.probe == c {
		s.probe = nil
	}
}

// applyIntentResult handles the result of recording an intent. When the table
// service starts to fail, the queued non-idempotent requests are refused.
func (s *controller) applyIntentResult(m intentResultMessage) {
	s.tableHealth.clearProbe(m.request)
	if !m.failed {
		s.tableHealth.failing = false
		return
	}
	s.tableHealth.failing = true
	s.tableHealth.retryAt = s.now + tableRetryInterval
	for _, c := range s.queues.nonIdempotent() {
		s.queues.remove(c)
		s.finish(c, result{err: storeUnavailableError()})
	}
}

func storeUnavailableError() error {
	return errkind.New(errkind.StoreUnavailable, "", "the queue is not idempotent and the table service, which stores its request records, is not available")
}
