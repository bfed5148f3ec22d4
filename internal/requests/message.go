package requests

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// message is an input to the control goroutine.
type message interface{ apply(c *controller) }

type acquireMessage struct{ lease api.PartitionLease }

func (m acquireMessage) apply(c *controller) { c.acquire(m.lease) }

type releaseMessage struct{ released chan struct{} }

func (m releaseMessage) apply(c *controller) { c.release(m.released) }

type abortReleaseMessage struct{ done chan struct{} }

func (m abortReleaseMessage) apply(c *controller) {
	c.abortRelease()
	close(m.done)
}

type fleetMessage struct{ vms []api.VM }

func (m fleetMessage) apply(c *controller) { c.setFleet(m.vms) }

type configMessage struct{ config *api.Configuration }

func (m configMessage) apply(c *controller) { c.setConfig(m.config) }

type submitReply struct {
	request *inFlightRequest
	err     error
}

type submitMessage struct {
	req      *api.ExecuteRequest
	bodyHash string
	deadline time.Duration
	reply    chan submitReply // buffered
}

func (m submitMessage) apply(c *controller) {
	req, err := c.submit(m)
	m.reply <- submitReply{req, err}
}

// removeWaiterMessage reports that a caller stopped waiting for a request.
type removeWaiterMessage struct {
	request *inFlightRequest
	cause   error
	reply   chan error // buffered; nil if the request has a result
}

func (m removeWaiterMessage) apply(c *controller) { m.reply <- c.removeWaiter(m.request, m.cause) }

type cancelMessage struct {
	key       requestKey
	abandoned bool
	reply     chan *api.RequestStatus // buffered; nil if the request may be in the records
}

func (m cancelMessage) apply(c *controller) { m.reply <- c.cancel(m.key, m.abandoned) }

type statusMessage struct {
	key   requestKey
	reply chan *api.RequestStatus // buffered; nil if the request may be in the records
}

func (m statusMessage) apply(c *controller) { m.reply <- c.status(m.key) }

// attemptEndedMessage reports the end of an attempt on its executor, or that
// the attempt was never sent.
type attemptEndedMessage struct {
	attempt *attempt
	sent    bool
	err     error // from the executor
	status  int   // status code of the answer
}

func (m attemptEndedMessage) apply(c *controller) { c.attemptEnded(m) }

// resultMessage carries the result of an attempt.
type resultMessage struct {
	attempt   *attempt
	result    result
	recording bool // a recordDoneMessage follows
	sent      bool
}

func (m resultMessage) apply(c *controller) { c.applyResult(m) }

// recordDoneMessage reports that the record of a request was written or its
// writing abandoned.
type recordDoneMessage struct{ request *inFlightRequest }

func (m recordDoneMessage) apply(c *controller) { c.recordDone(m.request) }

// intentResultMessage reports whether the table service accepted the intent of
// a request.
type intentResultMessage struct {
	request *inFlightRequest
	failed  bool
}

func (m intentResultMessage) apply(c *controller) { c.applyIntentResult(m) }

// fenceDoneMessage carries the answer to a fence call, and what was active and lost
// when the call began.
type fenceDoneMessage struct {
	executor     *executor
	seq          int
	epoch        int
	activeBefore map[requestKey]bool
	lostBefore   int
	status       *api.ExecutorStatus
	err          error
}

func (m fenceDoneMessage) apply(c *controller) { c.fenceDone(m) }

// supersededMessage reports that a record could not be written because the
// partition has a newer owner.
type supersededMessage struct{ epoch int }

func (m supersededMessage) apply(c *controller) { c.superseded(m.epoch) }

type dumpMessage struct{ reply chan Dump }

func (m dumpMessage) apply(c *controller) { m.reply <- c.dump() }

// send passes m to the control goroutine. It returns false if the partition is
// closed.
func (p *Partition) send(m message) bool {
	select {
	case p.messages <- m:
		return true
	case <-p.closed:
		return false
	}
}

// sendAndWait passes m to the control goroutine and waits for its reply. The
// control goroutine never blocks, so no timeout is needed.
func sendAndWait[T any](p *Partition, m message, reply <-chan T) (T, error) {
	var zero T
	if !p.send(m) {
		return zero, notOwnerError(p.options.Partition)
	}
	select {
	case r := <-reply:
		return r, nil
	case <-p.closed:
		return zero, notOwnerError(p.options.Partition)
	}
}
