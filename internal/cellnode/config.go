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

// followConfig keeps the declarations up to date from the table service. A node that
// can't reach the table service gets new declarations from the owner of the cell.
func (n *Node) followConfig(ctx context.Context) {
	rows.NewFollower(rows.FollowOptions{
		Store: n.store, Table: platform.TableOperator, Clock: n.clock, Wait: n.configPollWait,
		OnChange: n.operatorRowsChanged, OnCurrent: n.operatorRowsCurrent, OnError: n.logStoreStatus,
	}).Run(ctx)
}

// configPollWait returns how long a long poll of the table service waits for a new
// configuration. Nodes that are neither the owner nor a standby use a longer wait, to
// reduce the load on the table service. No wait is so long that the requests for evacuation would
// be too old for starts.
func (n *Node) configPollWait() time.Duration {
	wait := otherNodeConfigWait
	if n.election.IsOwnerOrStandby() {
		wait = standbyConfigWait
	}
	if longest := n.evacuations.MaxPollWait(); longest > 0 {
		wait = min(wait, longest)
	}
	return wait
}

// operatorRowsChanged applies the operator's rows that the table service has returned.
func (n *Node) operatorRowsChanged(table map[string]rows.Row) {
	n.evacuations.Replace(platform.EvacuatedZones(table))
	n.installRows(table)
}

// operatorRowsCurrent records that the table service has confirmed the rows as current.
func (n *Node) operatorRowsCurrent(asOf time.Duration) {
	n.evacuations.ConfirmCurrent(asOf)
	n.admission.ConfirmCurrent(asOf)
}

func (n *Node) logStoreStatus(err error) {
	if err != nil {
		event.TableServiceLost.Log(n.logger, "err", err)
		return
	}
	event.TableServiceRegained.Log(n.logger)
}

func (n *Node) installRows(table map[string]rows.Row) {
	d, err := platform.DecodeManifest(table)
	if err != nil {
		event.RowUnreadable.Log(n.logger, "table", platform.TableOperator, "err", err)
		return
	}
	n.installDeclarations(d, platform.ManifestText(table))
}

// installDeclarations puts declarations in force unless the same or newer ones are.
func (n *Node) installDeclarations(d *entry.Declarations, document []byte) {
	if d == nil || !n.admission.Install(d) {
		return
	}
	n.configDocument.Store(&api.ConfigDocument{Version: d.Config.Version, Document: document})
	event.ConfigInstalled.Log(n.logger, "config", d.Config.Version, "queues", len(d.Config.Queues))
}

// observeOwnerConfig handles the version that the owner of the cell knew to be the newest
// at asOf. If this node has the same version, it records that its version is current; if
// it has an older version, it fetches the newer one from the owner.
func (n *Node) observeOwnerConfig(address string, version int, asOf time.Duration) {
	own, _ := n.admission.Version()
	switch {
	case version == own:
		n.admission.ConfirmCurrent(asOf)
	case version > own && n.fetchingConfig.CompareAndSwap(false, true):
		n.runAsync(func() {
			defer n.fetchingConfig.Store(false)
			n.fetchConfig(address)
		})
	}
}

func (n *Node) fetchConfig(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
	defer cancel()
	var document api.ConfigDocument
	if err := n.peerClient.Call(ctx, address, api.MethodConfigDocument, &api.Empty{}, &document); err != nil {
		event.ConfigNotFetched.Log(n.logger, "from", address, "err", err)
		return
	}
	n.installRows(platform.OperatorRows(document.Document))
}

// handleConfigDocument sends the configuration in force to a node with an older
// version.
func (n *Node) handleConfigDocument(context.Context, []byte) (msgp.Marshaler, error) {
	if d := n.configDocument.Load(); d != nil {
		return d, nil
	}
	return nil, errkind.New(errkind.NodeNotFresh, "", "the node has no configuration yet")
}
