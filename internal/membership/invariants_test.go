package membership_test

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// checkInvariants checks the conditions that must hold at any time.
func (s *sim) checkInvariants() {
	nodes := s.running()
	s.checkOwners(nodes)
	s.checkKeys(nodes)
	s.checkVersions(nodes)
	s.checkQuota()
}

// checkOwners guards against two owners that place work at the same time without
// fencing between them: once a new owner considers every earlier owner unable to lead, no
// owner with a lower epoch may lead, then or later.
func (s *sim) checkOwners(nodes []*simNode) {
	newest := map[string]api.PartitionLease{} // newest lease of an owner that considers the earlier owners unable to lead
	for _, n := range nodes {
		for _, r := range n.allRunners() {
			lease, active := r.state()
			if !active || lease.Incarnation != n.membership.Self().Incarnation || n.membership.CheckLead() != nil {
				continue
			}
			cannotLead := lease.PreviousIncarnation == "" || n.membership.CannotLead(lease.PreviousIncarnation)
			if cannotLead && lease.Epoch > newest[lease.Partition].Epoch {
				newest[lease.Partition] = lease
			}
		}
	}
	for _, n := range nodes {
		if n.membership.CheckLead() != nil {
			continue
		}
		for _, r := range n.allRunners() {
			lease, active := r.state()
			if newer := newest[lease.Partition]; active && lease.Epoch < newer.Epoch {
				s.errorf("%s leads %s in epoch %d while %s in epoch %d excludes it", n.name, lease.Partition, lease.Epoch, newer.Node, newer.Epoch)
			}
		}
	}
}

// checkKeys guards against a node that accepts a key after its withdrawal was reported
// as confirmed.
func (s *sim) checkKeys(nodes []*simNode) {
	s.mu.Lock()
	withdrawn := map[string]time.Time{}
	for secret, from := range s.withdrawnAt {
		withdrawn[secret] = from
	}
	s.mu.Unlock()
	for _, n := range nodes {
		if n.registry.CheckFresh() != nil {
			continue
		}
		for secret, from := range withdrawn {
			if time.Now().Before(from) {
				continue
			}
			if _, err := n.registry.Authenticate(secret); err == nil {
				s.errorf("%s accepts a key %s after its withdrawal was confirmed", n.name, time.Since(from))
			}
		}
	}
}

// checkVersions guards against a node on which the configuration version or the key
// revision decreases.
func (s *sim) checkVersions(nodes []*simNode) {
	for _, n := range nodes {
		snap := n.registry.Snapshot()
		n.mu.Lock()
		if snap.ConfigVersion < n.configSeen || snap.KeyRevision < n.keysSeen {
			s.errorf("%s: the configuration version and key revision went from %d/%d to %d/%d", n.name, n.configSeen, n.keysSeen, snap.ConfigVersion, snap.KeyRevision)
		}
		n.configSeen, n.keysSeen = snap.ConfigVersion, snap.KeyRevision
		n.mu.Unlock()
	}
}

// checkQuota guards against allotments whose sum is above the limit of the team,
// recorded or held by the owners with the newest epochs.
func (s *sim) checkQuota() {
	row, err := s.table.Get(context.Background(), "quota/"+simTeam)
	if err != nil || row.Version == 0 {
		return
	}
	var q api.QuotaRow
	if _, err := q.UnmarshalMsg(row.Value); err != nil {
		s.errorf("quota row: %v", err)
		return
	}
	var cpu, slots int
	recorded := map[string]api.Resources{}
	for _, a := range q.Allotments {
		cpu += a.Resources.CpuMillis
		slots += a.Resources.Slots
		recorded[a.Partition] = a.Resources
	}
	if cpu > simLimit.CpuMillis || slots > simLimit.Slots {
		s.errorf("allotments of %d CPU and %d slots exceed the limit %+v", cpu, slots, simLimit)
	}
	s.checkHeld(recorded)
}

// checkHeld guards against an owner that holds or uses more than its recorded allotment.
// Work that still runs under a superseded owner is counted by its successor.
func (s *sim) checkHeld(recorded map[string]api.Resources) {
	owners := map[string]*simRunner{} // owners according to the table
	s.mu.Lock()
	var all []*simNode
	for _, n := range s.nodes {
		all = append(all, n)
	}
	s.mu.Unlock()
	for _, n := range all {
		for _, r := range n.allRunners() {
			lease, active := r.state()
			row, err := s.table.Get(context.Background(), "partition/"+lease.Partition)
			if active && err == nil && int(row.Version) == lease.RowVersion {
				owners[lease.Partition] = r
			}
		}
	}
	for p, r := range owners {
		r.mu.Lock()
		held := r.ledger.Allotment(simTeam)
		used := r.used
		r.mu.Unlock()
		if most := recorded[p]; held.Slots > most.Slots || used.Slots > most.Slots || held.CpuMillis > most.CpuMillis || used.CpuMillis > most.CpuMillis {
			s.errorf("%s on %s holds %+v and uses %+v of %+v recorded", p, r.node.name, held, used, most)
		}
	}
}
