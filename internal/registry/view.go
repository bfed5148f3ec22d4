// Package registry replicates the configuration and the keys from the table
// service to every node and commits changes to them.
//
// The row "head" holds the newest version of the configuration and the newest
// key revision. A node serves callers only while it knows that its view was
// current within the last 4 s. A change is confirmed once no node can serve a
// view without the change.
package registry

import (
	"github.com/endivehill/endivehill/internal/api"
)

// Snapshot is the state in force at this node. It is immutable.
type Snapshot struct {
	ConfigVersion int64
	KeyRevision   int64
	Config        *api.Configuration // never nil; empty for version 0
	Keys          map[string]api.Key // by ID, withdrawn keys included
}

// View is the registry as other packages use it.
type View interface {
	// Snapshot returns the state in force.
	Snapshot() *Snapshot
	// CheckFresh returns nil while the state is known to be current, else an
	// *errkind.Error of kind node_not_fresh.
	CheckFresh() error
	// Authenticate returns the valid key with the given secret, or an
	// *errkind.Error of kind unauthenticated. The caller must call CheckFresh.
	Authenticate(secret string) (api.Key, error)
}
