package owner

import (
	"context"
	"sync"

	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/work"
)

// startTries holds the tries of starts that have no answer. Once one try of a start is
// answered, the others are of no use, and one that has not been sent yet could reach a later
// incarnation of the worker.
type startTries struct {
	mu      sync.Mutex
	pending map[startKey]map[*cell.Start]context.CancelFunc
}

// startKey identifies a start.
type startKey struct {
	worker  cell.WorkerRef
	task    work.TaskID
	attempt int
}

func keyOfStart(s *cell.Start) startKey { return startKey{s.Worker, s.Task, s.Attempt} }

// began notes a try, and how to end it.
func (t *startTries) began(s *cell.Start, end context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil {
		t.pending = map[startKey]map[*cell.Start]context.CancelFunc{}
	}
	key := keyOfStart(s)
	if t.pending[key] == nil {
		t.pending[key] = map[*cell.Start]context.CancelFunc{}
	}
	t.pending[key][s] = end
}

// ended forgets a try. If it was answered, the other tries of the start are ended.
func (t *startTries) ended(s *cell.Start, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := keyOfStart(s)
	tries := t.pending[key]
	delete(tries, s)
	if answered {
		for _, end := range tries {
			end()
		}
	}
	if len(tries) == 0 {
		delete(t.pending, key)
	}
}
