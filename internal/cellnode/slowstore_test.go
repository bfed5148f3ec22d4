package cellnode

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/platform"
)

// tricklingStore is a table service of which each response arrives in small parts without an end.
type tricklingStore struct{ rows.Store }

func (tricklingStore) Range(ctx context.Context, _, _, _ string) (rows.Page, error) {
	const partInterval = 50 * time.Millisecond
	for {
		select {
		case <-time.After(partInterval):
			rows.ReportProgress(ctx)
		case <-ctx.Done():
			return rows.Page{}, context.Cause(ctx)
		}
	}
}

// Guards against a node that has no configuration although the owner has it, because the path to
// the table service is so slow that its response takes longer than a call may.
func TestConfigurationIsFetchedBesideASlowTableService(t *testing.T) {
	t.Parallel()
	const version, limit = 7, 10 * time.Second
	owner, node := newIdleNode("owner"), newIdleNode("node")
	owner.installRows(platform.OperatorRows(fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"tenants":[]}`, version)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = owner.peerServer.Serve(l) }()
	node.store = tricklingStore{}
	node.configFollower = node.newConfigFollower()
	ctx, cancel := context.WithCancel(t.Context())
	following := make(chan struct{})
	go func() {
		defer close(following)
		node.configFollower.Run(ctx)
	}()
	defer func() {
		cancel()
		<-following
		node.peerClient.Close()
		_ = owner.peerServer.Shutdown(t.Context())
	}()
	for !node.storeSendsConfig() {
		time.Sleep(time.Millisecond)
	}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		node.observeOwnerConfig(l.Addr().String(), version, 0)
		if got, _ := node.admission.Version(); got == version {
			return
		}
	}
	t.Errorf("the node does not have the configuration after %v", limit)
}
