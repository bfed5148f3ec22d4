package requests

import (
	"container/heap"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// urgencies lists the urgency classes of a team in the order of service.
var urgencies = []api.Urgency{api.UrgencyUrgent, api.UrgencyNormal, api.UrgencyBackground}

// defaultCost is the slot time charged for a team's first request, before its
// run times are known.
const defaultCost = 100 * time.Millisecond

// costWeight is the weight of the newest run time in the mean of a team.
const costWeight = 0.2

// queues holds the waiting calls of a partition. Teams are served by weighted
// fair queueing: each team has a virtual time that advances by the slot time it
// used divided by its share, and the team that is furthest behind goes first.
// The slot time of a call is estimated at its start and corrected at its end,
// because a team's run times are not known in advance (start-time fair
// queueing, Goyal, Vin, Cheng, 1996).
type queues struct {
	teams    map[string]*teamQueue
	perQueue map[string]int // waiting calls by queue
	size     int
	virtual  float64 // virtual time of the last start
}

type teamQueue struct {
	name    string
	share   float64
	virtual float64 // seconds of slot time per share
	mean    time.Duration
	heaps   map[api.Urgency]*deadlineHeap
	size    int
}

func newQueues() *queues {
	return &queues{teams: map[string]*teamQueue{}, perQueue: map[string]int{}}
}

func (q *queues) team(name string) *teamQueue {
	t := q.teams[name]
	if t != nil {
		return t
	}
	t = &teamQueue{name: name, share: 1, virtual: q.virtual, mean: defaultCost, heaps: map[api.Urgency]*deadlineHeap{}}
	for _, u := range urgencies {
		t.heaps[u] = &deadlineHeap{}
	}
	q.teams[name] = t
	return t
}

// setShares installs the shares of a configuration and forgets teams that are
// gone and have nothing waiting.
func (q *queues) setShares(teams []api.Team) {
	known := make(map[string]bool, len(teams))
	for _, t := range teams {
		known[t.Name] = true
		q.team(t.Name).share = float64(max(1, t.Share))
	}
	for name, t := range q.teams {
		if !known[name] && t.size == 0 {
			delete(q.teams, name)
		}
	}
}

// push adds a call. A team that had nothing waiting does not get credit for the
// time it was idle.
func (q *queues) push(c *call) {
	t := q.team(c.key.team)
	if t.size == 0 {
		t.virtual = max(t.virtual, q.virtual)
	}
	heap.Push(t.heap(c), c)
	t.size++
	q.size++
	q.perQueue[c.queue.Name]++
}

// remove takes a waiting call out.
func (q *queues) remove(c *call) {
	t := q.team(c.key.team)
	heap.Remove(t.heap(c), c.index)
	q.removed(t, c)
}

func (q *queues) removed(t *teamQueue, c *call) {
	t.size--
	q.size--
	q.perQueue[c.queue.Name]--
	if q.perQueue[c.queue.Name] == 0 {
		delete(q.perQueue, c.queue.Name)
	}
}

// reorder restores the order after the deadline of a waiting call changed.
func (q *queues) reorder(c *call) {
	heap.Fix(q.team(c.key.team).heap(c), c.index)
}

// next returns the call to be started next among the teams that may start one,
// without removing it, or nil.
func (q *queues) next(may func(team string) bool) *call {
	var best *teamQueue
	for _, t := range q.teams {
		if t.size == 0 || !may(t.name) {
			continue
		}
		if best == nil || t.virtual < best.virtual || t.virtual == best.virtual && t.name < best.name {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return best.first()
}

// started removes a call that gets a slot and charges its team the slot time
// that is expected. It returns the charge.
func (q *queues) started(c *call) time.Duration {
	q.remove(c)
	t := q.team(c.key.team)
	q.virtual = max(q.virtual, t.virtual)
	t.virtual += t.mean.Seconds() / t.share
	return t.mean
}

// ended replaces the charge of a call by the slot time that it used.
func (q *queues) ended(team string, charged, used time.Duration) {
	t := q.team(team)
	t.virtual += (used - charged).Seconds() / t.share
	t.mean += time.Duration(costWeight * float64(used-t.mean))
}

// expired removes and returns the calls whose deadline is not after now.
func (q *queues) expired(now time.Duration) []*call {
	var out []*call
	for _, t := range q.teams {
		for _, h := range t.heaps {
			for h.Len() > 0 && (*h)[0].deadline <= now {
				c := heap.Pop(h).(*call)
				q.removed(t, c)
				out = append(out, c)
			}
		}
	}
	return out
}

// recorded returns the waiting calls that are not idempotent.
func (q *queues) recorded() []*call {
	var out []*call
	for _, t := range q.teams {
		for _, h := range t.heaps {
			for _, c := range *h {
				if !c.queue.Idempotent {
					out = append(out, c)
				}
			}
		}
	}
	return out
}

// drain removes and returns all calls.
func (q *queues) drain() []*call {
	var out []*call
	for _, t := range q.teams {
		for _, h := range t.heaps {
			for h.Len() > 0 {
				c := heap.Pop(h).(*call)
				q.removed(t, c)
				out = append(out, c)
			}
		}
	}
	return out
}

func (t *teamQueue) heap(c *call) *deadlineHeap {
	if h := t.heaps[c.queue.Urgency]; h != nil {
		return h
	}
	return t.heaps[api.UrgencyNormal]
}

func (t *teamQueue) first() *call {
	for _, u := range urgencies {
		if h := t.heaps[u]; h.Len() > 0 {
			return (*h)[0]
		}
	}
	return nil
}

// deadlineHeap orders calls by deadline, then by arrival.
type deadlineHeap []*call

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].deadline != h[j].deadline {
		return h[i].deadline < h[j].deadline
	}
	return h[i].seq < h[j].seq
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	c.index = -1
	return c
}
