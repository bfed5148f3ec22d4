package registry

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
)

// awaitConfirmation waits until no node can serve a state without a change that was
// committed before the boot time since. After ConfirmTimeout it returns an unconfirmed
// result with the nodes that may.
func (r *Registry) awaitConfirmation(ctx context.Context, want api.Head, since time.Duration) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ConfirmTimeout)
	defer cancel()
	self := r.options.Membership.Self()
	scanned := false
	for {
		if behind(r.Head(), want) {
			_ = r.Refresh(ctx) // retried in the next round
		}
		// The sessions must be read once, because a node that joined before the change may
		// not be known yet.
		scanned = scanned || r.options.Membership.Refresh(ctx) == nil
		unconfirmed := r.unconfirmedMembers(want, self, since)
		if scanned && len(unconfirmed) == 0 {
			return r.newResult(want, nil), nil
		}
		r.pushAll(ctx, unconfirmed)
		if !clock.Sleep(ctx, confirmInterval) {
			return r.unconfirmedResult(want, unconfirmed, scanned), nil
		}
	}
}

func (r *Registry) newResult(want api.Head, unconfirmed []string) *Result {
	return &Result{
		Version:     max(want.ConfigVersion, want.KeyRevision),
		Confirmed:   unconfirmed == nil,
		Unconfirmed: unconfirmed,
	}
}

// unconfirmedResult returns the result of a change that was not confirmed in time.
func (r *Registry) unconfirmedResult(want api.Head, members []api.Member, scanned bool) *Result {
	if !scanned { // a node that is not known may have joined
		members = append(members, r.options.Membership.Self())
	}
	nodes := make([]string, 0, len(members))
	for _, m := range members {
		nodes = append(nodes, m.Node)
	}
	sort.Strings(nodes)
	nodes = slices.Compact(nodes)
	event.ChangeUnconfirmed.Log(r.options.Logger, "config_version", want.ConfigVersion, "key_revision", want.KeyRevision, "nodes", nodes)
	return r.newResult(want, nodes)
}

// unconfirmedMembers returns the members that may serve a state without want.
func (r *Registry) unconfirmedMembers(want api.Head, self api.Member, since time.Duration) []api.Member {
	var members []api.Member
	if behind(r.Head(), want) {
		members = append(members, self)
	}
	for _, m := range r.options.Membership.Others() {
		if behind(r.peerHead(m.Incarnation), want) && !r.options.Membership.CannotServeStale(m.Incarnation, self.Incarnation, since) {
			members = append(members, m)
		}
	}
	return members
}

// pushAll sends the state in force to members that have not confirmed it.
func (r *Registry) pushAll(ctx context.Context, to []api.Member) {
	for _, m := range to {
		if m.Incarnation == r.options.Membership.Self().Incarnation || !r.reservePush(m.Incarnation) {
			continue
		}
		go r.push(context.WithoutCancel(ctx), m)
	}
}
