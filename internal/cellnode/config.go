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
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/platform"
)

// newConfigFollower returns the follower that keeps the declarations up to date from the table service. A node that
// can't reach the table service gets new declarations from the owner of the cell.
func (n *Node) newConfigFollower() *rows.Follower {
	return rows.NewFollower(rows.FollowOptions{
		Store: n.store, Table: platform.TableOperator, Clock: n.clock, Wait: n.configPollWait,
		OnChange: n.operatorRowsChanged, OnCurrent: n.operatorRowsCurrent, OnError: n.logStoreStatus,
	})
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

// installDeclarations puts declarations in force unless the same or newer ones are. The table
// service and the owner may deliver different versions at the same time; the document that other
// nodes get must be that of the version in force.
func (n *Node) installDeclarations(d *entry.Declarations, document []byte) {
	n.installing.Lock()
	defer n.installing.Unlock()
	if d == nil || !n.admission.Install(d) {
		return
	}
	n.configDocument.Store(&api.ConfigDocument{Version: d.Config.Version, Document: document})
	event.ConfigInstalled.Log(n.logger, "config", d.Config.Version, "queues", len(d.Config.Queues), "bytes", len(document))
}

// storeSendsConfig reports whether the table service is sending the operator's rows. A second
// transfer of the configuration would share the link with that one and delay it. After
// storeTransferLimit the path to the table service may be slower than the one to the owner.
func (n *Node) storeSendsConfig() bool {
	return n.configFollower.Receiving(storeTransferPause, storeTransferLimit)
}

// observeOwnerConfig handles the version that the owner of the cell knew to be the newest
// at asOf. If this node has the same version, it records that its version is current; if
// it has an older version, it fetches the newer one from the owner.
func (n *Node) observeOwnerConfig(address string, version int, asOf time.Duration) {
	own, _ := n.admission.Version()
	switch {
	case version == own:
		n.admission.ConfirmCurrent(asOf)
	case version > own && !n.storeSendsConfig() && n.fetchingConfig.CompareAndSwap(false, true):
		n.runAsync(func() {
			defer n.fetchingConfig.Store(false)
			n.fetchConfig(address)
		})
	}
}

// fetchConfig fetches the configuration from a node, part by part. After an error it returns, and
// the next call goes on with the part that is missing.
func (n *Node) fetchConfig(address string) {
	t := &n.configTransfer
	for {
		complete, err := n.fetchConfigPart(address)
		if err != nil {
			event.ConfigNotFetched.Log(n.logger, "from", address, "err", err, "received_bytes", len(t.received), "total_bytes", t.total)
			return
		}
		if complete {
			break
		}
	}
	document := t.received
	n.configTransfer = configTransfer{}
	n.installRows(platform.OperatorRows(document))
}

// fetchConfigPart fetches the next part, and reports whether the document is complete.
func (n *Node) fetchConfigPart(address string) (bool, error) {
	t := &n.configTransfer
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout())
	defer cancel()
	var part api.ConfigDocument
	if err := n.peerClient.Call(ctx, address, api.MethodConfigDocument, t.call(), &part); err != nil {
		if ctx.Err() != nil {
			t.timeouts++
		}
		return false, err
	}
	return t.add(&part)
}

// handleConfigDocument sends a part of the configuration in force to a node with an older
// version.
func (n *Node) handleConfigDocument(_ context.Context, payload []byte) (msgp.Marshaler, error) {
	var call api.ConfigDocumentCall
	if err := wire.Decode(payload, &call); err != nil {
		return nil, err
	}
	if d := n.configDocument.Load(); d != nil {
		return configPart(d, &call), nil
	}
	return nil, errkind.New(errkind.NodeNotFresh, "", "the node has no configuration yet")
}
