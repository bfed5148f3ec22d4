package node

import (
	"context"

	"github.com/endivehill/endivehill/internal/api"
)

// Dump is the state of a node without access keys and without the bodies of requests.
type Dump struct {
	Node          string               `json:"node"`
	Version       string               `json:"version"`
	StartedUnixMs int64                `json:"started_unix_ms"`
	Ready         bool                 `json:"ready"`
	NotReady      string               `json:"not_ready_reason,omitempty"`
	MayLead       bool                 `json:"may_lead"`
	Self          api.Member           `json:"self"`
	Members       []api.Member         `json:"members"`
	ConfigVersion int64                `json:"config_version"`
	KeyRevision   int64                `json:"key_revision"`
	Leases        []api.PartitionLease `json:"leases"`
	Partitions    map[string]any       `json:"partitions"`
}

// Dump returns the state of the node.
func (n *Node) Dump(ctx context.Context) Dump {
	snapshot := n.registry.Snapshot()
	d := Dump{
		Node:          n.options.Settings.Node,
		Version:       n.options.Version,
		StartedUnixMs: n.started.UnixMilli(),
		MayLead:       n.membership.CheckLead() == nil,
		Self:          n.membership.Self(),
		Members:       n.membership.Members(),
		ConfigVersion: snapshot.ConfigVersion,
		KeyRevision:   snapshot.KeyRevision,
		Leases:        n.ownership.Held(),
		Partitions:    n.partitions.dump(ctx),
	}
	if err := n.Ready(); err != nil {
		d.NotReady = err.Error()
	} else {
		d.Ready = true
	}
	return d
}
