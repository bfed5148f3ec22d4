package requests

import (
	"container/heap"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// urgencies lists the urgency classes of a team in the order of service.
var urgencies = []api.Urgency{api.UrgencyUrgent, api.UrgencyNormal, api.UrgencyBackground}

// initialSlotTime is the initial mean slot time of a team, which its requests are
// charged while none of its run times is known.
const initialSlotTime = 100 * time.Millisecond

// slotTimeWeight is the weight of the newest slot time in the moving average of
// a team.
const slotTimeWeight = 0.2

// fairQueue holds the queued requests of a partition. Teams are served by
// weighted fair queueing: the virtual time of a team advances by the slot time
// it used divided by its share, and the team with the lowest virtual time is
// served first. The slot time of a request is estimated at its start and
// corrected at its end, because run times are not known in advance (start-time
// fair queueing, Goyal, Vin, Cheng, 1996).
type fairQueue struct {
	teams       map[string]*teamQueue
	sizeByQueue map[string]int // queued requests by queue
	size        int
	virtualTime float64 // virtual time of the last start
}

type teamQueue struct {
	name         string
	share        float64
	virtualTime  float64 // seconds of slot time per share
	meanSlotTime time.Duration
	heaps        map[api.Urgency]*deadlineHeap
	size         int
}

func newFairQueue() *fairQueue {
	return &fairQueue{teams: map[string]*teamQueue{}, sizeByQueue: map[string]int{}}
}

func (q *fairQueue) team(name string) *teamQueue {
	t := q.teams[name]
	if t != nil {
		return t
	}
	t = &teamQueue{name: name, share: 1, virtualTime: q.virtualTime, meanSlotTime: initialSlotTime, heaps: map[api.Urgency]*deadlineHeap{}}
	for _, u := range urgencies {
		t.heaps[u] = &deadlineHeap{}
	}
	q.teams[name] = t
	return t
}

// setShares installs the shares of a configuration and removes unconfigured
// teams that have nothing queued.
func (q *fairQueue) setShares(teams []api.Team) {
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

// push adds a request. A team that had nothing queued gets no credit for its
// idle time.
func (q *fairQueue) push(req *inFlightRequest) {
	t := q.team(req.key.team)
	if t.size == 0 {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	heap.Push(t.heap(req), req)
	t.size++
	q.size++
	q.sizeByQueue[req.queue.Name]++
}

// remove removes a queued request.
func (q *fairQueue) remove(req *inFlightRequest) {
	t := q.team(req.key.team)
	heap.Remove(t.heap(req), req.heapIndex)
	q.countRemoved(t, req)
}

func (q *fairQueue) countRemoved(t *teamQueue, req *inFlightRequest) {
	t.size--
	q.size--
	q.sizeByQueue[req.queue.Name]--
	if q.sizeByQueue[req.queue.Name] == 0 {
		delete(q.sizeByQueue, req.queue.Name)
	}
}

// deadlineChanged restores the heap order after the deadline of a queued
// request changed.
func (q *fairQueue) deadlineChanged(req *inFlightRequest) {
	heap.Fix(q.team(req.key.team).heap(req), req.heapIndex)
}

// next returns, without removing it, the next request to start among the
// allowed teams, or nil.
func (q *fairQueue) next(allowed func(team string) bool) *inFlightRequest {
	var best *teamQueue
	for _, t := range q.teams {
		if t.size == 0 || !allowed(t.name) {
			continue
		}
		if best == nil || t.virtualTime < best.virtualTime || t.virtualTime == best.virtualTime && t.name < best.name {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return best.head()
}

// dequeueAndCharge removes a request that gets a slot and charges its team the
// expected slot time. It returns the charge.
func (q *fairQueue) dequeueAndCharge(req *inFlightRequest) time.Duration {
	q.remove(req)
	t := q.team(req.key.team)
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	t.virtualTime += t.meanSlotTime.Seconds() / t.share
	return t.meanSlotTime
}

// correctCharge replaces the charge for a request with the slot time that it
// used.
func (q *fairQueue) correctCharge(team string, charged, used time.Duration) {
	t := q.team(team)
	t.virtualTime += (used - charged).Seconds() / t.share
	t.meanSlotTime += time.Duration(slotTimeWeight * float64(used-t.meanSlotTime))
}

// removeExpired removes and returns the requests whose deadline is not after
// now.
func (q *fairQueue) removeExpired(now time.Duration) []*inFlightRequest {
	return q.removeWhile(func(req *inFlightRequest) bool { return req.deadline <= now })
}

// removeAll removes and returns all requests.
func (q *fairQueue) removeAll() []*inFlightRequest {
	return q.removeWhile(func(*inFlightRequest) bool { return true })
}

// removeWhile removes and returns the requests at the head of each heap for as long as
// remove reports true.
func (q *fairQueue) removeWhile(remove func(*inFlightRequest) bool) []*inFlightRequest {
	var out []*inFlightRequest
	for _, t := range q.teams {
		for _, h := range t.heaps {
			for h.Len() > 0 && remove((*h)[0]) {
				req := heap.Pop(h).(*inFlightRequest)
				q.countRemoved(t, req)
				out = append(out, req)
			}
		}
	}
	return out
}

// nonIdempotent returns the queued requests that are not idempotent.
func (q *fairQueue) nonIdempotent() []*inFlightRequest {
	var out []*inFlightRequest
	for _, t := range q.teams {
		for _, h := range t.heaps {
			for _, req := range *h {
				if !req.queue.Idempotent {
					out = append(out, req)
				}
			}
		}
	}
	return out
}

func (t *teamQueue) heap(req *inFlightRequest) *deadlineHeap {
	if h := t.heaps[req.queue.Urgency]; h != nil {
		return h
	}
	return t.heaps[api.UrgencyNormal]
}

func (t *teamQueue) head() *inFlightRequest {
	for _, u := range urgencies {
		if h := t.heaps[u]; h.Len() > 0 {
			return (*h)[0]
		}
	}
	return nil
}

// deadlineHeap orders requests by deadline, then by arrival.
type deadlineHeap []*inFlightRequest

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].deadline != h[j].deadline {
		return h[i].deadline < h[j].deadline
	}
	return h[i].arrivalSeq < h[j].arrivalSeq
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	req := x.(*inFlightRequest)
	req.heapIndex = len(*h)
	*h = append(*h, req)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	req := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	req.heapIndex = -1
	return req
}
