package registry

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// Fresh returns nil while the state in force is known to be current: it was read,
// here or by a peer, within the last 4 s, or an outage for all has been confirmed
// without a gap since.
//
// A node that holds no session is not fresh: nobody waits for its confirmation.
func (r *Registry) Fresh() error {
	if r.options.Membership.Self().Incarnation == "" {
		return errkind.New(errkind.NodeNotFresh, "", "the node holds no session")
	}
	r.extend()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasState() {
		return errkind.New(errkind.NodeNotFresh, "", "configuration and keys have not been read yet")
	}
	if now := r.options.Clock.Boot(); now >= r.freshUntil {
		return errkind.New(errkind.NodeNotFresh, "", "configuration and keys may be out of date for %s", (now - r.freshUntil).Round(time.Millisecond))
	}
	return nil
}

// hasState reports whether any state was ever known to be current.
func (r *Registry) hasState() bool { return r.freshUntil > 0 }

// extend prolongs the freshness by a confirmed outage for all. A view that has
// gone stale stays so until the head is read, because a change may have been
// accepted meanwhile without this node.
func (r *Registry) extend() {
	until := r.options.Membership.OutageUntil()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.Clock.Boot() >= r.freshUntil || behind(r.head, r.newest) {
		return
	}
	r.freshUntil = max(r.freshUntil, until)
}

// confirm notes that the head was in force at a boot time. It counts only if the
// state of that head, or a newer one, is installed.
func (r *Registry) confirm(head api.Head, at time.Duration, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = merge(r.newest, head)
	if behind(r.head, head) {
		return
	}
	r.freshUntil = max(r.freshUntil, at+Freshness)
	if own && (!r.hasRead || at > r.read) {
		r.read, r.hasRead = at, true
	}
}

// behind reports whether a lacks something that b has.
func behind(a, b api.Head) bool {
	return a.ConfigVersion < b.ConfigVersion || a.KeyRevision < b.KeyRevision
}

// merge returns the newest of both parts of two heads.
func merge(a, b api.Head) api.Head {
	return api.Head{
		ConfigVersion: max(a.ConfigVersion, b.ConfigVersion),
		KeyRevision:   max(a.KeyRevision, b.KeyRevision),
	}
}

func (r *Registry) logFresh() {
	err := r.Fresh()
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := err == nil
	if fresh == r.wasFresh {
		return
	}
	r.wasFresh = fresh
	if fresh {
		event.RegistryFresh.Log(r.options.Logger, "config_version", r.head.ConfigVersion, "key_revision", r.head.KeyRevision)
		return
	}
	event.RegistryStale.Log(r.options.Logger, "err", err)
}
