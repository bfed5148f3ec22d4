// Package bodybudget accounts for the memory that a process uses for request bodies.
// Bytes are charged before they are allocated and released when the request ends. The
// package has no clock, no goroutines and no connections of its own.
package bodybudget

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/endivehill/endivehill/internal/errkind"
)

// SmallBodyBytes is the size up to which a body is small. Small bodies have a reserve, and
// the bounds of teams and addresses don't apply to them.
const SmallBodyBytes = 8 << 10

// UnknownBodyBytes is the size from which a body of unknown length is treated as large until it
// is complete. Decoding the transfer coding of more takes much longer than refusing it.
const UnknownBodyBytes = 2 << 10

const (
	reserveShare = 0.25 // of the budget, for small bodies
	teamShare    = 0.5  // of what large bodies may use, for one team
	addressShare = 0.75 // the same for one address; larger, because a balancer may stand for all callers
	// minBodies is the number of bodies of the largest permitted size that fit any budget. A
	// single one needs that much while it is received, copied and forwarded.
	minBodies = 4

	// incompleteFactor is the number of large bodies that may be received at a time as a multiple
	// of those that fit if each has the largest permitted size.
	incompleteFactor = 2

	stallTime     = 500 * time.Millisecond // without a byte, after which a body is slow
	slowAfter     = time.Second            // age from which the rate of a body is considered
	minRate       = 64 << 10               // bytes a second below which a body is slow
	evictInterval = 20 * time.Millisecond  // between two searches for slow bodies

	decodeSlots = 2
	// decodeFactor is the memory for decoding a body as a multiple of its size: a contiguous
	// copy, the buffer of the decoder, and the strings of the result.
	decodeFactor = 4
	decodeWait   = 250 * time.Millisecond // for a decode slot
)

// refusedField is the field of the errors with which bodies are refused.
const refusedField = "body"

// Reason says why a body was refused.
type Reason string

// Reasons for refusals.
const (
	ReasonTotal   Reason = "total"         // the budget is used up
	ReasonTeam    Reason = "team_share"    // the bound of the team
	ReasonAddress Reason = "address_share" // the bound of the caller's address
	ReasonSlow    Reason = "slow"          // received too slowly while the budget was used up
	ReasonDecode  Reason = "decode"        // no decode slot became free
	// ReasonReceiving says that as many large bodies are being received as may be at a time.
	ReasonReceiving Reason = "receiving"
)

// Reasons lists all reasons.
var Reasons = []Reason{ReasonTotal, ReasonTeam, ReasonAddress, ReasonSlow, ReasonDecode, ReasonReceiving}

// Options configures a Budget.
type Options struct {
	Bytes        int64                // memory for bodies
	MaxBodyBytes int64                // size of the largest permitted body
	Now          func() time.Duration // monotonic time
}

// Budget is the memory for the request bodies of a process.
type Budget struct {
	now            func() time.Duration
	total, reserve int64 // without the memory of the decode slots
	teamBound      int64 // of large bodies
	addressBound   int64
	maxIncomplete  int // large bodies that may be received at a time
	decoding       *semaphore.Weighted

	mu         sync.Mutex
	small      int64 // bytes of small bodies
	large      int64
	teams      map[string]int64 // bytes of large bodies
	addresses  map[string]int64
	incomplete map[*Charge]struct{} // large bodies that are being received
	refused    map[Reason]int64
	searched   map[scope]struct{} // scopes of the searches for slow bodies since searchedAt
	searchedAt time.Duration
}

// New returns a budget. It is larger than o.Bytes if a single body would not fit otherwise.
func New(o Options) *Budget {
	forDecoding := decodeSlots * decodeFactor * o.MaxBodyBytes
	largest := max(o.MaxBodyBytes, SmallBodyBytes)
	b := &Budget{
		now:      o.Now,
		decoding: semaphore.NewWeighted(decodeSlots),
		teams:    map[string]int64{}, addresses: map[string]int64{},
		incomplete: map[*Charge]struct{}{}, refused: map[Reason]int64{}, searched: map[scope]struct{}{},
	}
	forLarge := max(int64((1-reserveShare)*float64(o.Bytes-forDecoding)), minBodies*largest)
	b.reserve = int64(float64(forLarge) * reserveShare / (1 - reserveShare))
	b.total = forLarge + b.reserve
	b.teamBound = max(int64(teamShare*float64(forLarge)), minBodies*largest)
	b.addressBound = max(int64(addressShare*float64(forLarge)), minBodies*largest)
	b.maxIncomplete = int(incompleteFactor * forLarge / largest)
	return b
}

// Stats describes the use of a budget.
type Stats struct {
	Limit        int64 // of all bodies
	Small, Large int64 // bytes in use
	Refused      map[Reason]int64
}

// Stats returns the current use and the refusals so far.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Limit: b.total, Small: b.small, Large: b.large, Refused: make(map[Reason]int64, len(Reasons))}
	for _, r := range Reasons {
		s.Refused[r] = b.refused[r]
	}
	return s
}

// Open returns the charge of a new body, without any bytes. interrupt ends a pending read of
// the body; it is called at most once, while the body is incomplete, and must neither block
// nor use the budget. The charge must be closed.
func (b *Budget) Open(team, address string, interrupt func()) *Charge {
	return &Charge{budget: b, team: team, address: address, interrupt: interrupt, smallBytes: SmallBodyBytes}
}

// refuse counts a refusal and returns it as an error. b.mu is held.
func (b *Budget) refuse(r Reason) error {
	b.refused[r]++
	message := map[Reason]string{
		ReasonTotal:   "the node has no memory for more request bodies",
		ReasonTeam:    "the team uses its share of the memory for request bodies",
		ReasonAddress: "the address uses its share of the memory for request bodies",
		ReasonSlow:    "the body arrives too slowly, and the node has no memory for more request bodies",
		ReasonDecode:  "too many large bodies are being decoded",

		ReasonReceiving: "the node receives as many large request bodies as it can at a time",
	}[r]
	return errkind.New(errkind.Overloaded, refusedField, "%s", message)
}

// fits returns the reason why n more bytes of a charge don't fit, or "" if they do. b.mu is
// held.
func (b *Budget) fits(c *Charge, n int64) Reason {
	switch {
	case c.large && b.teams[c.team]+n > b.teamBound:
		return ReasonTeam
	case c.large && b.addresses[c.address]+n > b.addressBound:
		return ReasonAddress
	case c.large && !c.admitted && len(b.incomplete) >= b.maxIncomplete:
		return ReasonReceiving
	case c.large && max(b.small, b.reserve)+b.large+n > b.total, b.small+b.large+n > b.total:
		return ReasonTotal
	}
	return ""
}

// add changes the bytes of a charge by n. b.mu is held.
func (b *Budget) add(c *Charge, n int64) {
	c.bytes += n
	if !c.large {
		b.small += n
		return
	}
	b.large += n
	addTo(b.teams, c.team, n)
	addTo(b.addresses, c.address, n)
}

// addTo changes a sum and removes it when it is 0.
func addTo(sums map[string]int64, key string, n int64) {
	if sums[key] += n; sums[key] == 0 {
		delete(sums, key)
	}
}

// scope is a part of the memory that is used up: a reason, and the team or address that it
// concerns.
type scope struct {
	reason Reason
	of     string
}

func scopeOf(r Reason, c *Charge) scope {
	switch r {
	case ReasonTeam:
		return scope{r, c.team}
	case ReasonAddress:
		return scope{r, c.address}
	}
	return scope{reason: r}
}

// mayBeSearched reports whether a scope has not been searched for slow bodies within
// evictInterval, and records that it is searched now. Scopes are independent, so that a team
// that keeps asking beyond its bound delays no search for others. b.mu is held.
func (b *Budget) mayBeSearched(s scope, now time.Duration) bool {
	if now-b.searchedAt >= evictInterval {
		clear(b.searched)
		b.searchedAt = now
	}
	if _, ok := b.searched[s]; ok {
		return false
	}
	b.searched[s] = struct{}{}
	return true
}

// makeRoom interrupts slow bodies that use what r says is used up, the oldest first, until
// need bytes will be free. If only the number of bodies is too large, it interrupts one.
// b.mu is held.
func (b *Budget) makeRoom(r Reason, requester *Charge, need int64) {
	now := b.now()
	wanted := scopeOf(r, requester)
	if !b.mayBeSearched(wanted, now) {
		return
	}
	for need > 0 {
		var oldest *Charge
		for c := range b.incomplete {
			if scopeOf(r, c) == wanted && c != requester && c.slow(now) && (oldest == nil || c.enlargedAt < oldest.enlargedAt) {
				oldest = c
			}
		}
		if oldest == nil {
			return
		}
		need -= oldest.bytes
		oldest.evicted = true
		delete(b.incomplete, oldest)
		oldest.interrupt()
		if r == ReasonReceiving {
			return
		}
	}
}

// AcquireDecoding waits for a decode slot of a large body and returns a function that
// releases it. It fails if none becomes free in a short time or before ctx ends.
func (b *Budget) AcquireDecoding(ctx context.Context) (release func(), err error) {
	wait, cancel := context.WithTimeout(ctx, decodeWait)
	defer cancel()
	if b.decoding.Acquire(wait, 1) == nil {
		return func() { b.decoding.Release(1) }, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return nil, b.refuse(ReasonDecode)
}
