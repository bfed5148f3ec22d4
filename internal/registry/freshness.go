package registry

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// CheckFresh returns nil while the state in force is known to be current: this node or a
// peer has read the head within the last 4 s, or a cell-wide outage of the table
// service has been confirmed without a gap since such a read.
//
// A node that holds no session is not fresh, because no change waits for its
// confirmation.
func (r *Registry) CheckFresh() error {
	if r.options.Membership.Self().Incarnation == "" {
		return errkind.New(errkind.NodeNotFresh, "", "the node holds no session")
	}
	r.extendFreshness()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasState() {
		return errkind.New(errkind.NodeNotFresh, "", "configuration and keys have not been read yet")
	}
	if now := r.options.Clock.Boot(); now >= r.freshUntil {
		return errkind.New(errkind.NodeNotFresh, "", "configuration and keys may have been out of date for %s", (now - r.freshUntil).Round(time.Millisecond))
	}
	return nil
}

// hasState reports whether the state in force was ever known to be current.
func (r *Registry) hasState() bool { return r.freshUntil > 0 }

// extendFreshness extends freshUntil while a cell-wide outage is confirmed. A stale view
// stays stale until the head is read, because a change may have been accepted meanwhile
// without this node.
func (r *Registry) extendFreshness() {
	until := r.options.Membership.OutageUntil()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.Clock.Boot() >= r.freshUntil || behind(r.head, r.newestSeen) {
		return
	}
	r.freshUntil = max(r.freshUntil, until)
}

// recordCurrent records that head was current at a boot time. That extends the freshness
// only if the state of that head, or newer state, is installed. own is set if this node
// read the head itself.
func (r *Registry) recordCurrent(head api.Head, at time.Duration, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newestSeen = mergeHeads(r.newestSeen, head)
	if behind(r.head, head) {
		return
	}
	r.freshUntil = max(r.freshUntil, at+MaxViewAge)
	if own && (!r.hasRead || at > r.lastRead) {
		r.lastRead, r.hasRead = at, true
	}
}

// behind reports whether a is older than b in the configuration or the keys.
func behind(a, b api.Head) bool {
	return a.ConfigVersion < b.ConfigVersion || a.KeyRevision < b.KeyRevision
}

// mergeHeads returns the newer configuration version and key revision of two heads.
func mergeHeads(a, b api.Head) api.Head {
	return api.Head{
		ConfigVersion: max(a.ConfigVersion, b.ConfigVersion),
		KeyRevision:   max(a.KeyRevision, b.KeyRevision),
	}
}

func (r *Registry) logFreshness() {
	err := r.CheckFresh()
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := err == nil
	if fresh == r.wasFresh {
		return
	}
	r.wasFresh = fresh
	if fresh {
		event.RegistryConfirmed.Log(r.options.Logger, "config_version", r.head.ConfigVersion, "key_revision", r.head.KeyRevision)
		return
	}
	event.RegistryUnconfirmed.Log(r.options.Logger, "err", err)
}
