package requests

import (
	"container/list"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Limits of recentRequests. An entry takes about 200 bytes.
const (
	recentMaxEntries = 16384
	recentRetention  = 2 * time.Minute
)

// recentRequests keeps the hash of queue and body and the outcome of recent
// requests, so that a reused ID with another queue or body is refused. For
// non-idempotent requests, the records ensure this for the whole retention; for
// idempotent requests, recentRequests is the only check.
type recentRequests struct {
	byKey map[requestKey]*list.Element
	order *list.List // of *recentEntry, oldest first
}

type recentEntry struct {
	key      requestKey
	bodyHash string // of queue and body
	// recorded reports that the request has a row, which then holds its
	// outcome.
	recorded  bool
	expiresAt time.Duration // boot time
	state     api.RequestState
	reason    string
}

func newRecentRequests() *recentRequests {
	return &recentRequests{byKey: map[requestKey]*list.Element{}, order: list.New()}
}

// add stores a request and reports whether its ID was used before with
// another queue or body.
func (r *recentRequests) add(k requestKey, hash string, recorded bool, now time.Duration) (conflict bool) {
	if e := r.byKey[k]; e != nil {
		return e.Value.(*recentEntry).bodyHash != hash
	}
	if r.order.Len() >= recentMaxEntries {
		r.removeOldest()
	}
	entry := &recentEntry{key: k, bodyHash: hash, recorded: recorded, expiresAt: now + recentRetention, state: api.RequestStateQueued}
	r.byKey[k] = r.order.PushBack(entry)
	return false
}

// contains reports whether a request was added before.
func (r *recentRequests) contains(k requestKey) bool { return r.byKey[k] != nil }

// setOutcome stores how a request ended.
func (r *recentRequests) setOutcome(k requestKey, err error) {
	e := r.byKey[k]
	if e == nil {
		return
	}
	entry := e.Value.(*recentEntry)
	if err == nil {
		entry.state = api.RequestStateDone
		return
	}
	entry.state, entry.reason = stateOfError(err)
}

// status returns the outcome of a request that is not in flight and has no row,
// or nil if it is not known.
func (r *recentRequests) status(k requestKey) *api.RequestStatus {
	e := r.byKey[k]
	if e == nil {
		return nil
	}
	entry := e.Value.(*recentEntry)
	if entry.recorded {
		return nil
	}
	return &api.RequestStatus{State: entry.state, Reason: entry.reason}
}

// expire removes entries older than recentRetention.
func (r *recentRequests) expire(now time.Duration) {
	for r.order.Len() > 0 && r.order.Front().Value.(*recentEntry).expiresAt <= now {
		r.removeOldest()
	}
}

func (r *recentRequests) removeOldest() {
	e := r.order.Front()
	delete(r.byKey, e.Value.(*recentEntry).key)
	r.order.Remove(e)
}

// stateOfError returns the state and reason in status answers for a request
// that ended with err.
func stateOfError(err error) (api.RequestState, string) {
	e := errkind.From(err)
	if e.Outcome() == errkind.NotRun {
		return api.RequestStateNotRun, e.Reason
	}
	return api.RequestStateUnknown, e.Reason
}
