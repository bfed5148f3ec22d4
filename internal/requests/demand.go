package requests

import (
	"slices"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
)

// floorFraction is the part of a team's limit that is spread evenly over the
// executor partitions that its requests may reach, whether it is needed or not.
// Without it, the first request after a pause would wait for a write to the table
// service, and in an outage it could not be started at all. The rest goes where
// it is needed.
const floorFraction = 2

// setLimits installs the limits of teams and the allotments that this partition
// holds for them at any time.
func (s *control) setLimits(c *api.Configuration) {
	s.limits = make(map[string]api.Resources, len(c.Teams))
	s.floors = make(map[string]int, len(c.Teams))
	for _, t := range c.Teams {
		s.limits[t.Name] = t.Limit
		if all := teamPartitions(c, t.Name); slices.Contains(all, s.o.Partition) {
			s.floors[t.Name] = t.Limit.Slots / (floorFraction * len(all))
		}
	}
}

// teamPartitions returns the executor partitions that the requests of a team may
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

// tellDemand reports changed use to the quota ledger, and all use at intervals.
func (s *control) tellDemand() {
	if !s.owned || !s.fleetKnown {
		return // what the previous owner started is not known yet
	}
	if s.now-s.demanded >= demandInterval {
		s.demanded = s.now
		s.allDirty()
	}
	for team := range s.dirty {
		used, wanted := s.demand(team)
		s.o.Ledger.Demand(team, api.Resources{Slots: used}, api.Resources{Slots: wanted})
	}
	clear(s.dirty)
}

// demand returns the slots that a team uses at most and wants in total. What may
// be in use must not be returned, but what is held for it is enough unless more
// requests wait.
func (s *control) demand(team string) (used, wanted int) {
	used = s.active[team] + s.uncertain(team)
	if t := s.queues.teams[team]; t != nil && t.size > 0 {
		wanted = used + t.size
	} else {
		wanted = max(s.active[team], min(used, s.o.Ledger.Held(team).Slots))
	}
	return used, max(wanted, s.floors[team])
}

// uncertain returns the slots that team may use without this owner knowing.
func (s *control) uncertain(team string) int {
	n := 0
	for _, e := range s.executors {
		n += e.uncertain(team)
	}
	return n
}
