package owner

import (
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// resultBuffer holds the results with valid tickets, in the order in which they came, until
// they are passed on at the end of the tenure.
type resultBuffer struct {
	mu          sync.Mutex
	list        []*adviceResult
	expiryByKey map[resultKey]time.Duration // when the latest result of a key expires
	closed      bool                        // the results have been passed on
}

// resultKey is the same for all copies of a result, which the owner that asked and the node that
// called the adviser may both pass on.
type resultKey struct {
	step    work.StepID
	worker  string // the first one
	ticket  string // the first one
	workers int
}

func (r *adviceResult) key() resultKey {
	k := resultKey{step: r.step, workers: len(r.workers)}
	if len(r.workers) > 0 {
		k.worker = r.workers[0]
	}
	if len(r.tickets) > 0 {
		k.ticket = r.tickets[0].Ticket
	}
	return k
}

// copyTolerance is how much later a copy of a result may seem to expire: each node adds the time
// that the message to it took.
const copyTolerance = 250 * time.Millisecond

// add adds results except for copies of those that were added before, and returns the added
// ones. It reports false, and adds none, once the results have been passed on. It drops the
// oldest results that have expired: to look through all of them with each call would take more
// time the more calls there are, with its square.
func (a *resultBuffer) add(now time.Duration, results ...*adviceResult) (added []*adviceResult, open bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, false
	}
	a.dropExpired(now)
	for _, r := range results {
		if expires, ok := a.expiryByKey[r.key()]; ok && r.expires <= expires+copyTolerance {
			continue
		}
		if a.expiryByKey == nil {
			a.expiryByKey = map[resultKey]time.Duration{}
		}
		a.expiryByKey[r.key()] = r.expires
		added = append(added, r)
	}
	a.list = append(a.list, added...)
	return added, true
}

// dropExpired drops the expired results at the head of the list. mu is held.
func (a *resultBuffer) dropExpired(now time.Duration) {
	expired := 0
	for expired < len(a.list) && !a.list[expired].valid(now) {
		r := a.list[expired]
		if a.expiryByKey[r.key()] == r.expires {
			delete(a.expiryByKey, r.key())
		}
		a.list[expired] = nil
		expired++
	}
	a.list = a.list[expired:]
}

// close returns the results that have not expired. No more are added.
func (a *resultBuffer) close(now time.Duration) []*adviceResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := validResults(a.list, now)
	a.closed, a.list, a.expiryByKey = true, nil, nil
	return out
}
