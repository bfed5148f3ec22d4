package requests

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// message is an input of the control goroutine.
type message interface{ apply(s *control) }

type acquireMessage struct{ lease api.PartitionLease }

func (m acquireMessage) apply(s *control) { s.acquire(m.lease) }

type releaseMessage struct{ released chan struct{} }

func (m releaseMessage) apply(s *control) { s.release(m.released) }

type abortMessage struct{ done chan struct{} }

func (m abortMessage) apply(s *control) {
	s.abort()
	close(m.done)
}

type fleetMessage struct{ vms []api.VM }

func (m fleetMessage) apply(s *control) { s.setFleet(m.vms) }

type configMessage struct{ config *api.Configuration }

func (m configMessage) apply(s *control) { s.setConfig(m.config) }

type submitReply struct {
	call *call
	err  error
}

type submitMessage struct {
	req      *api.ExecuteRequest
	hash     string
	deadline time.Duration
	reply    chan submitReply // buffered
}

func (m submitMessage) apply(s *control) {
	c, err := s.submit(m)
	m.reply <- submitReply{c, err}
}

// leaveMessage tells that one caller of a call has gone.
type leaveMessage struct {
	call  *call
	cause error
	reply chan error // buffered; nil if the call has a result
}

func (m leaveMessage) apply(s *control) { m.reply <- s.leave(m.call, m.cause) }

type cancelMessage struct {
	key       callKey
	abandoned bool
	reply     chan *api.RequestStatus // buffered; nil if the call is not in flight
}

func (m cancelMessage) apply(s *control) { m.reply <- s.cancel(m.key, m.abandoned) }

type statusMessage struct {
	key   callKey
	reply chan *api.RequestStatus // buffered; nil if nothing is known
}

func (m statusMessage) apply(s *control) { m.reply <- s.status(m.key) }

// returnedMessage tells that an executor no longer works on a call, or that the
// call was never sent.
type returnedMessage struct {
	run  *run
	sent bool
	err  error // of the executor
	code int   // status code of the answer
}

func (m returnedMessage) apply(s *control) { s.returned(m) }

// resolvedMessage tells the result of a call.
type resolvedMessage struct {
	run      *run
	result   result
	settling bool // a settledMessage follows
	sent     bool
}

func (m resolvedMessage) apply(s *control) { s.resolved(m) }

// settledMessage tells that the record of a call was written or given up.
type settledMessage struct{ call *call }

func (m settledMessage) apply(s *control) { s.settled(m.call) }

// storeMessage tells whether the intent of a call could be recorded.
type storeMessage struct {
	call   *call
	failed bool
}

func (m storeMessage) apply(s *control) { s.storeAnswered(m) }

type fencedMessage struct {
	executor *executor
	seq      int
	epoch    int
	before   map[callKey]bool
	mark     int
	status   *api.ExecutorStatus
	err      error
}

func (m fencedMessage) apply(s *control) { s.fenced(m) }

// lostMessage tells that a record could not be written because the partition has
// a newer owner.
type lostMessage struct{ epoch int }

func (m lostMessage) apply(s *control) { s.lost(m.epoch) }

type dumpMessage struct{ reply chan Dump }

func (m dumpMessage) apply(s *control) { m.reply <- s.dump() }

// send hands m to the control goroutine. It reports whether that still runs.
func (p *Partition) send(m message) bool {
	select {
	case p.messages <- m:
		return true
	case <-p.closed:
		return false
	}
}

// ask hands m to the control goroutine and waits for its reply. The control
// goroutine never blocks, so there is no need to give up earlier.
func ask[T any](p *Partition, m message, reply <-chan T) (T, error) {
	var none T
	if !p.send(m) {
		return none, notOwner(p.options.Partition)
	}
	select {
	case r := <-reply:
		return r, nil
	case <-p.closed:
		return none, notOwner(p.options.Partition)
	}
}
