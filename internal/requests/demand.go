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
func (c *controller) setLimits(configuration *api.Configuration) {
	c.limits = make(map[string]api.Resources, len(configuration.Teams))
	c.reservedSlots = make(map[string]int, len(configuration.Teams))
	for _, t := range configuration.Teams {
		c.limits[t.Name] = t.Limit
		if all := teamPartitions(configuration, t.Name); slices.Contains(all, c.options.Partition) {
			c.reservedSlots[t.Name] = t.Limit.Slots / (reservedDivisor * len(all))
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

// reportDemand reports demand to the quota ledger: that of all teams every
// demandInterval, and in between that of the teams for which it may have changed.
func (c *controller) reportDemand() {
	if !c.owned || !c.fleetKnown {
		return // requests of the previous owner are not known yet
	}
	if c.now-c.lastFullReport >= demandInterval {
		c.lastFullReport = c.now
		c.markAllDemandChanged()
	}
	for team := range c.demandChanged {
		used, wanted := c.demand(team)
		c.options.Ledger.ReportDemand(team, api.Resources{Slots: used}, api.Resources{Slots: wanted})
	}
	clear(c.demandChanged)
}

// demand returns an upper bound of the slots that a team uses, and the slots that
// it wants in total. Slots that may be in use must not be returned to the ledger.
// Unaccounted slots raise the demand above the current allotment only while
// requests are queued.
func (c *controller) demand(team string) (used, wanted int) {
	used = c.activeByTeam[team] + c.unaccountedSlots(team)
	if t := c.queued.teams[team]; t != nil && t.size > 0 {
		wanted = used + t.size
	} else {
		wanted = max(c.activeByTeam[team], min(used, c.options.Ledger.Allotment(team).Slots))
	}
	return used, max(wanted, c.reservedSlots[team])
}

// unaccountedSlots returns the slots that requests of team may occupy without
// being tracked by this owner.
func (c *controller) unaccountedSlots(team string) int {
	n := 0
	for _, e := range c.executors {
		n += e.unaccountedSlots(team)
	}
	return n
}
