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

// confirmed waits until no node can serve a state without a change that was
// committed before the boot time since. It gives up after ConfirmTimeout and then
// names the nodes that may.
func (r *Registry) confirmed(ctx context.Context, want api.Head, since time.Duration) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ConfirmTimeout)
	defer cancel()
	self := r.options.Membership.Self()
	scanned := false
	for {
		if behind(r.Head(), want) {
			_ = r.Refresh(ctx) // tried again below
		}
		// A node that joined before the change may not be known yet.
		scanned = scanned || r.options.Membership.Refresh(ctx) == nil
		open := r.unconfirmed(want, self, since)
		if scanned && len(open) == 0 {
			return r.result(want, nil), nil
		}
		r.pushAll(ctx, open)
		if !clock.Sleep(ctx, confirmInterval) {
			return r.giveUp(want, open, scanned), nil
		}
	}
}

func (r *Registry) result(want api.Head, unconfirmed []string) *Result {
	return &Result{
		Version:     max(want.ConfigVersion, want.KeyRevision),
		Confirmed:   unconfirmed == nil,
		Unconfirmed: unconfirmed,
	}
}

// giveUp returns the result of a change that is not confirmed in time.
func (r *Registry) giveUp(want api.Head, open []api.Member, scanned bool) *Result {
	if !scanned { // any node may have joined meanwhile
		open = append(open, r.options.Membership.Self())
	}
	nodes := make([]string, 0, len(open))
	for _, m := range open {
		nodes = append(nodes, m.Node)
	}
	sort.Strings(nodes)
	nodes = slices.Compact(nodes)
	event.ChangeUnconfirmed.Log(r.options.Logger, "config_version", want.ConfigVersion, "key_revision", want.KeyRevision, "nodes", nodes)
	return r.result(want, nodes)
}

// unconfirmed returns the members that may serve a state without want.
func (r *Registry) unconfirmed(want api.Head, self api.Member, since time.Duration) []api.Member {
	var open []api.Member
	if behind(r.Head(), want) {
		open = append(open, self)
	}
	for _, m := range r.options.Membership.Others() {
		if behind(r.peerHead(m.Incarnation), want) && !r.options.Membership.CannotServeStale(m.Incarnation, self.Incarnation, since) {
			open = append(open, m)
		}
	}
	return open
}

// pushAll sends the state in force to members that have not confirmed it.
func (r *Registry) pushAll(ctx context.Context, to []api.Member) {
	for _, m := range to {
		if m.Incarnation == r.options.Membership.Self().Incarnation || !r.beginPush(m.Incarnation) {
			continue
		}
		go r.push(context.WithoutCancel(ctx), m)
	}
}
