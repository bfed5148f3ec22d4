package requests

import (
	"time"

	"github.com/endivehill/endivehill/internal/errkind"
)

// tableRetryInterval is the time between attempts to record an intent while the
// table service is failing.
const tableRetryInterval = 500 * time.Millisecond

// tableHealth tracks whether the table service is failing. While it is failing,
// non-idempotent requests are refused at once, except for one probe at a time: a
// request that waits for the table service holds a slot that idempotent requests
// could use.
type tableHealth struct {
	failing bool
	retryAt time.Duration    // boot time from which a probe is accepted
	probe   *inFlightRequest // nil if none is in flight
}

// allowsNew reports whether a non-idempotent request may be accepted.
func (h *tableHealth) allowsNew(now time.Duration) bool {
	return !h.failing || h.probe == nil && now >= h.retryAt
}

func (h *tableHealth) setProbeIfFailing(req *inFlightRequest) {
	if h.failing {
		h.probe = req
	}
}

func (h *tableHealth) clearProbe(req *inFlightRequest) {
	if h.probe == req {
		h.probe = nil
	}
}

// applyIntentResult handles the result of recording an intent. When the table
// service starts to fail, the queued non-idempotent requests are refused.
func (c *controller) applyIntentResult(m intentResultMessage) {
	c.tableHealth.clearProbe(m.request)
	if !m.failed {
		c.tableHealth.failing = false
		return
	}
	c.tableHealth.failing = true
	c.tableHealth.retryAt = c.now + tableRetryInterval
	for _, req := range c.queued.nonIdempotent() {
		c.queued.remove(req)
		c.finish(req, result{err: storeUnavailableError()})
	}
}

func storeUnavailableError() error {
	return errkind.New(errkind.StoreUnavailable, "", "the queue is not idempotent and the table service, which stores its request records, is not available")
}
