package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against an older version that replaces a newer one, because the table service and the
// owner of the cell deliver them at the same time.
func TestConcurrentInstallsNeverRevert(t *testing.T) {
	const versions, rounds, queues = 8, 20, 100
	for round := range rounds {
		a := NewAdmission(clock.System{}, time.Second)
		var start, done sync.WaitGroup
		start.Add(1)
		for version := 1; version <= versions; version++ {
			d := &Declarations{Config: &work.Config{Version: version, Queues: map[string]*work.Queue{}}}
			for n := range queues * (versions - version + 1) {
				name := fmt.Sprintf("queue-%d", n)
				d.Config.Queues[name] = &work.Queue{Name: name, Host: "host", Prefix: "/" + name}
			}
			done.Go(func() {
				start.Wait()
				a.Install(d)
			})
		}
		start.Done()
		done.Wait()
		if got, _ := a.Version(); got != versions {
			t.Fatalf("round %d: version %d is in force after version %d was installed", round, got, versions)
		}
	}
}
