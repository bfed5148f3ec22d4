package cellnode

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/entry"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/platform"
)

// followConfig keeps the declarations up to date from the table service. A node
// that can't reach it hears of them from the owner of the cell.
func (n *Node) followConfig(ctx context.Context) {
	rows.NewFollower(rows.FollowOptions{
		Store: n.store, Table: platform.TableOperator, Clock: n.clock, Wait: n.configWait,
		OnChange: n.installConfig, OnSeen: n.gate.Seen, OnError: n.storeError,
	}).Run(ctx)
}

// configWait returns how long a call waits for a new configuration. Nodes that are
// neither the owner nor a standby ask rarely, to spare the table service.
func (n *Node) configWait() time.Duration {
	if n.election.Ranked() {
		return configWait
	}
	return configWaitRest
}

func (n *Node) storeError(err error) {
	if err != nil {
		event.StoreLost.Log(n.logger, "err", err)
		return
	}
	event.StoreRegained.Log(n.logger)
}

func (n *Node) installConfig(table map[string]rows.Row) {
	d, err := platform.Declarations(table)
	if err != nil {
		event.RowUnreadable.Log(n.logger, "table", platform.TableOperator, "err", err)
		return
	}
	n.install(d, platform.ManifestText(table))
}

// install puts declarations in force unless newer ones are.
func (n *Node) install(d *entry.Declarations, document []byte) {
	if d == nil || !n.gate.Install(d) {
		return
	}
	n.document.Store(&api.ConfigDocument{Version: d.Config.Version, Document: document})
	event.ConfigInstalled.Log(n.logger, "config", d.Config.Version, "queues", len(d.Config.Queues))
}

// ownerConfig notes which configuration the owner of the cell knows to be the
// newest, and fetches it if this node has an older one.
func (n *Node) ownerConfig(address string, version int, asOf time.Duration) {
	own, _ := n.gate.Version()
	switch {
	case version == own:
		n.gate.Seen(asOf)
	case version > own && n.fetching.CompareAndSwap(false, true):
		n.goRun(func() {
			defer n.fetching.Store(false)
			n.fetchConfig(address)
		})
	}
}

func (n *Node) fetchConfig(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var document api.ConfigDocument
	if err := n.peers.Call(ctx, address, api.MethodConfigDocument, &api.Empty{}, &document); err != nil {
		event.ConfigNotFetched.Log(n.logger, "from", address, "err", err)
		return
	}
	n.installConfig(platform.OperatorRows(document.Document))
}

// handleConfigDocument answers a node that has an older configuration.
func (n *Node) handleConfigDocument(context.Context, []byte) (msgp.Marshaler, error) {
	if d := n.document.Load(); d != nil {
		return d, nil
	}
	return nil, errkind.New(errkind.NodeNotFresh, "", "the node has no configuration yet")
}
