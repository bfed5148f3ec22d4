package requests

import (
	"slices"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
)

// reservedDivisor gives the part of a team's limit (one half) that is reserved
// for it and spread evenly over the executor partitions that its requests can
// reach, regardless of demand. Without the reservation, the first request after
// an idle period would wait for a write to the table service, and during an
// outage of that service it could not start at all. The rest of the limit
// follows the demand.
const reservedDivisor = 2

// setLimits installs the limits of the teams and the slots that this partition
// reserves for them.
func (s *controller) setLimits(c *api.Configuration) {
	s.limits = make(map[string]api.Resources, len(c.Teams))
	s.reservedSlots = make(map[string]int, len(c.Teams))
	for _, t := range c.Teams {
		s.limits[t.Name] = t.Limit
		if all := teamPartitions(c, t.Name); slices.Contains(all, s.options.Partition) {
			s.reservedSlots[t.Name] = t.Limit.Slots / (reservedDivisor * len(all))
		}
	}
}

// teamPartitions returns the executor partitions that requests of a team can
// reach.
func teamPartitions(c *api.Configuration, team string) []string {
	var pools, out []string
	for _, q := range c.Queues {
		if q.Team != team || q.Class != api.ClassRequest || slices.Contains(pools, q.Pool) {
			continue
		}
		pools = append(pools, q.Pool)
		if p := config.FindPool(*c, q.Pool); p != nil {
			out = append(out, config.ExecutorPartitions(*p)...)
		}
	}
	return out
}

// reportDemand reports the demand of teams that changed to the quota ledger,
// and the demand of all teams every demandInterval.
func (s *controller) reportDemand() {
	if !s.owned || !s.fleetKnown {
		return // requests of the previous owner are not known yet
	}
	if s.now-s.lastFullReport >= demandInterval {
		s.lastFullReport = s.now
		s.markAllDemandChanged()
	}
	for team := range s.demandChanged {
		used, wanted := s.demand(team)
		s.options.Ledger.ReportDemand(team, api.Resources{Slots: used}, api.Resources{Slots: wanted})
	}
	clear(s.demandChanged)
}

// demand returns an upper bound of the slots that a team uses and the slots
// that it wants in total. Slots that may be in use must not be returned to the
// ledger, but the held allotment is enough unless requests are queued.
func (s *controller) demand(team string) (used, wanted int) {
	used = s.activeByTeam[team] + s.unaccountedSlots(team)
	if t := s.queues.teams[team]; t != nil && t.size > 0 {
		wanted = used + t.size
	} else {
		wanted = max(s.activeByTeam[team], min(used, s.options.Ledger.Allotment(team).Slots))
	}
	return used, max(wanted, s.reservedSlots[team])
}

// unaccountedSlots returns the slots that requests of team may occupy without
// being tracked by this owner.
func (s *controller) unaccountedSlots(team string) int {
	n := 0
	for _, e := range s.executors {
		n += e.unaccountedSlots(team)
	}
	return n
}
