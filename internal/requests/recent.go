package requests

import (
	"container/list"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Bounds of the memory of recent request IDs. An entry takes about 200 bytes.
const (
	recentMax  = 16384
	recentTime = 2 * time.Minute
)

// recent remembers the content and the end of recent requests, so that the same
// ID with other content is refused. Records do this for non-idempotent requests
// over any time; for idempotent ones this memory is all there is.
type recent struct {
	byKey map[callKey]*list.Element
	order *list.List // of *recentEntry, oldest first
}

type recentEntry struct {
	key  callKey
	hash string
	// recorded is whether the request has a row, which then tells its end.
	recorded bool
	until    time.Duration // boot time
	state    api.RequestState
	why      string
}

func newRecent() *recent {
	return &recent{byKey: map[callKey]*list.Element{}, order: list.New()}
}

// add remembers a request and reports whether its ID was used with other content
// before.
func (r *recent) add(k callKey, hash string, recorded bool, now time.Duration) (conflict bool) {
	if e := r.byKey[k]; e != nil {
		return e.Value.(*recentEntry).hash != hash
	}
	if r.order.Len() >= recentMax {
		r.removeOldest()
	}
	entry := &recentEntry{key: k, hash: hash, recorded: recorded, until: now + recentTime, state: api.RequestStateQueued}
	r.byKey[k] = r.order.PushBack(entry)
	return false
}

// ended remembers how a request ended.
func (r *recent) ended(k callKey, err error) {
	e := r.byKey[k]
	if e == nil {
		return
	}
	entry := e.Value.(*recentEntry)
	if err == nil {
		entry.state = api.RequestStateDone
		return
	}
	entry.state, entry.why = stateOfError(err)
}

// status returns what is remembered of a request that is not in flight and has
// no row, or nil.
func (r *recent) status(k callKey) *api.RequestStatus {
	e := r.byKey[k]
	if e == nil {
		return nil
	}
	entry := e.Value.(*recentEntry)
	if entry.recorded {
		return nil
	}
	return &api.RequestStatus{State: entry.state, Reason: entry.why}
}

// expire forgets old requests.
func (r *recent) expire(now time.Duration) {
	for r.order.Len() > 0 && r.order.Front().Value.(*recentEntry).until <= now {
		r.removeOldest()
	}
}

func (r *recent) removeOldest() {
	e := r.order.Front()
	delete(r.byKey, e.Value.(*recentEntry).key)
	r.order.Remove(e)
}

// stateOfError returns the state and reason that status answers give for a
// request that ended with err.
func stateOfError(err error) (api.RequestState, string) {
	e := errkind.From(err)
	if e.Outcome() == errkind.NotRun {
		return api.RequestStateNotRun, e.Reason
	}
	return api.RequestStateUnknown, e.Reason
}
