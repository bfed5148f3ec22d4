package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a long-running task of a cell with few nodes that waits for as long as owners are
// killed faster than the adviser answers, because each call is made through the owner's own node.
func TestLongRunningTaskIsPlacedByKilledOwnersOfASmallCell(t *testing.T) {
	const (
		tenure    = 600 * time.Millisecond
		waitLimit = 9 * time.Second
	)
	for _, nodes := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTenureSeries(t)
				s.members = nodes
				defer time.Sleep(time.Minute) // the calls of all owners end
				began := time.Now()
				for epoch := 1; len(s.started) == 0; epoch++ {
					if waited := time.Since(began); waited > waitLimit {
						t.Fatalf("the task is not started after %v and %d owners", waited, epoch)
					}
					address := fmt.Sprintf("n%d", epoch%nodes)
					s.runTenure(address, epoch<<20, tenure, epoch%seriesGroups)
					s.node(address).end()
					s.startProcess(address)
				}
			})
		})
	}
}
