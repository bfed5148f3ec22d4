package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/rows"
)

// simulatedStore is a table service that loses answers, rejects calls, and carries out commits
// seconds late if their conditions still hold.
type simulatedStore struct {
	mu       sync.Mutex
	rand     *rand.Rand
	rows     map[string]map[string]rows.Row // by table and key
	version  int64
	trouble  bool                // calls meet faults
	rejected map[string]bool     // works of which each record is rejected as invalid
	late     int                 // late commits whose condition still held
	failed   map[commitFault]int // faults so far
}

// commitFault is what happens to a commit.
type commitFault int

const (
	noFault      commitFault = iota
	unavailable              // it is rejected
	callLost                 // it is neither carried out nor answered
	answerLost               // it is carried out and not answered
	carriedLate              // it is carried out late and not answered
	slowlyServed             // its answer takes long
)

// Times of the simulated table service.
const (
	storeDelay     = 5 * time.Millisecond
	slowStoreDelay = 700 * time.Millisecond // at most
	minLateness    = time.Second
	maxLateness    = 6 * time.Second
	faultShare     = 0.5 // of the calls in times of trouble
)

var errNoAnswer = errors.New("no answer")

func newSimulatedStore(seed uint64) *simulatedStore {
	return &simulatedStore{
		rand: rand.New(rand.NewPCG(seed, 2)), rows: map[string]map[string]rows.Row{}, rejected: map[string]bool{}, failed: map[commitFault]int{},
	}
}

// drawFault draws the fault of a call, and how long it takes.
func (s *simulatedStore) drawFault() (commitFault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.trouble || s.rand.Float64() >= faultShare {
		return noFault, storeDelay
	}
	fault := unavailable + commitFault(s.rand.IntN(int(slowlyServed)))
	s.failed[fault]++
	switch fault {
	case carriedLate:
		return fault, minLateness + time.Duration(s.rand.Int64N(int64(maxLateness-minLateness)))
	case slowlyServed:
		return fault, time.Duration(s.rand.Int64N(int64(slowStoreDelay)))
	}
	return fault, storeDelay
}

func (s *simulatedStore) setTrouble(trouble bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = trouble
}

// Commit implements rows.Store.
func (s *simulatedStore) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	fault, delay := s.drawFault()
	type result struct {
		timestamp rows.Timestamp
		err       error
	}
	answer := make(chan result, 1)
	time.AfterFunc(delay, func() {
		if fault == callLost {
			return
		}
		r := result{err: rows.ErrUnavailable}
		if fault != unavailable {
			r.timestamp, r.err = s.apply(tx, fault == carriedLate)
		}
		if fault != answerLost && fault != carriedLate {
			answer <- r
		}
	})
	select {
	case r := <-answer:
		return r.timestamp, r.err
	case <-ctx.Done():
		return rows.Timestamp{}, errors.Join(errNoAnswer, ctx.Err())
	}
}

// apply applies a transaction if its conditions hold.
func (s *simulatedStore) apply(tx *rows.Tx, late bool) (rows.Timestamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejects(tx) {
		return rows.Timestamp{}, rows.ErrInvalid
	}
	conflict := &rows.ConflictError{}
	holds := true
	for _, e := range tx.Preconditions {
		current, ok := s.rows[e.Table][e.Key]
		if ok {
			conflict.Rows = append(conflict.Rows, current)
		}
		holds = holds && current.Version == e.Version
	}
	if !holds {
		return rows.Timestamp{}, conflict
	}
	if late {
		s.late++
	}
	s.version++
	for _, r := range tx.Put {
		r.Version = s.version
		if s.rows[r.Table] == nil {
			s.rows[r.Table] = map[string]rows.Row{}
		}
		s.rows[r.Table][r.Key] = r
	}
	for _, r := range tx.Remove {
		delete(s.rows[r.Table], r.Key)
	}
	return s.timestamp(), nil
}

func (s *simulatedStore) rejects(tx *rows.Tx) bool {
	return slices.ContainsFunc(tx.Put, func(r rows.Row) bool { return r.Table == tableWork && s.rejected[r.Key] })
}

// timestamp returns the version and the clock of the service. mu is held.
func (s *simulatedStore) timestamp() rows.Timestamp {
	return rows.Timestamp{Version: s.version, Clock: bubbleNow()}
}

// simulatedPage is the number of rows in a page.
const simulatedPage = 7

// Range implements rows.Store.
func (s *simulatedStore) Range(ctx context.Context, table, _, from string) (rows.Page, error) {
	fault, delay := s.drawFault()
	if fault != noFault && fault != unavailable && fault != slowlyServed {
		<-ctx.Done()
		return rows.Page{}, errors.Join(errNoAnswer, ctx.Err())
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return rows.Page{}, ctx.Err()
	}
	if fault == unavailable {
		return rows.Page{}, rows.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{Timestamp: s.timestamp()}
	for _, r := range s.rows[table] {
		if r.Key >= from {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rows.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > simulatedPage {
		page.Rows, page.Truncated = page.Rows[:simulatedPage], true
	}
	return page, nil
}

// Feed implements rows.Store.
func (s *simulatedStore) Feed(context.Context, string, int64, time.Duration) (rows.Page, error) {
	return rows.Page{}, rows.ErrUnavailable
}
