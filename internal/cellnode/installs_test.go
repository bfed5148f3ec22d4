package cellnode

import (
	"fmt"
	"sync"
	"testing"

	"github.com/endivehill/endivehill/platform"
)

// Guards against a node that serves an older document than the version that it reports, so that
// the nodes that fetch it never get that version.
func TestDocumentHasTheVersionInForce(t *testing.T) {
	const concurrent, rounds = 8, 2000
	n := newIdleNode("node")
	for round := range rounds {
		newest := (round + 1) * concurrent
		var done sync.WaitGroup
		for version := newest - concurrent + 1; version <= newest; version++ {
			document := fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"tenants":[]}`, version)
			done.Go(func() { n.installRows(platform.OperatorRows(document)) })
		}
		done.Wait()
		inForce, _ := n.admission.Version()
		if got := n.configDocument.Load().Version; got != newest || inForce != newest {
			t.Fatalf("version %d is in force and version %d is served, want %d", inForce, got, newest)
		}
	}
}
