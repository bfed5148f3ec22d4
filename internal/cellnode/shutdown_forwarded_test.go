package cellnode

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/platform/standin"
)

// Guards against requests to another node that get no response, or an untrue one, because the
// owner that they are forwarded to stops.
func TestRequestsThroughOtherNodesAreAnsweredWhileTheOwnerStops(t *testing.T) {
	for name, delay := range map[string]time.Duration{"fast store": 0, "slow store": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := startCell(t, 3, testOptions(6))
			owner := c.owner()
			client := c.client()
			client.Nodes = nil
			for _, n := range c.nodes {
				if n != owner {
					client.Nodes = append(client.Nodes, n.callerAddress)
				}
			}
			c.platform.Store.Faults.SetDelay(delay)
			var mu sync.Mutex
			statuses := map[string]int{}
			var callers sync.WaitGroup
			const callersCount = 8
			for caller := range callersCount {
				callers.Go(func() {
					for n := caller; !isClosed(owner.done); n += callersCount {
						status, err := client.Submit(t.Context(), n, "quotes", testID(n), "p", []standin.Step{shortStep})
						if err != nil {
							t.Errorf("submission %d: %v", n, err)
							return
						}
						mu.Lock()
						statuses[testID(n)] = status
						mu.Unlock()
						if _, _, err := client.State(t.Context(), n, "quotes", testID(n)); err != nil {
							t.Errorf("call for the state of %d: %v", n, err)
							return
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			owner.stop()
			callers.Wait()
			c.platform.Store.Faults.SetDelay(0)
			c.checkAnswers(client, statuses)
		})
	}
}

// checkAnswers checks that submissions are known if they were accepted, and unknown if they were
// refused as not run.
func (c *testCell) checkAnswers(client *standin.Client, statuses map[string]int) {
	c.t.Helper()
	counts := map[int]int{}
	for id, status := range statuses {
		counts[status]++
		var got int
		c.eventually(5*time.Second, "an answer about "+id, func() bool {
			var err error
			got, _, err = client.State(c.t.Context(), 0, "quotes", id)
			return err == nil && (got == http.StatusOK || got == http.StatusGone)
		})
		refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if refused && got != http.StatusGone || status == http.StatusOK && got != http.StatusOK {
			c.t.Errorf("work %s: status %d, later %d", id, status, got)
		}
	}
	c.t.Logf("submissions by status: %v", counts)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
