package requests

import (
	"sort"

	"github.com/endivehill/endivehill/internal/api"
)

// Dump is the state of a partition in the state dump for operators.
type Dump struct {
	Partition string         `json:"partition"`
	Owned     bool           `json:"owned"`
	Releasing bool           `json:"releasing"`
	Epoch     int            `json:"epoch"`
	Queued    int            `json:"queued"`
	Recording int            `json:"settling"`
	Recent    int            `json:"recent"`
	Executors []ExecutorDump `json:"executors"`
	Teams     []TeamDump     `json:"teams"`
}

// ExecutorDump is the state of one executor.
type ExecutorDump struct {
	VM       string      `json:"vm"`
	State    api.VMState `json:"state"`
	Slots    int         `json:"slots"`
	Active   int         `json:"active"`
	Orphans  int         `json:"orphans"`
	Fenced   bool        `json:"fenced"`
	Usable   bool        `json:"usable"`
	Draining bool        `json:"draining"`
	Unlisted bool        `json:"gone"`
	Failures int         `json:"failures"`
}

// TeamDump is the state of one team.
type TeamDump struct {
	Team        string  `json:"team"`
	Share       float64 `json:"share"`
	Queued      int     `json:"queued"`
	Active      int     `json:"active"`
	HeldSlots   int     `json:"held_slots"`
	VirtualTime float64 `json:"virtual_time"`
}

func (c *controller) dump() Dump {
	d := Dump{
		Partition: c.options.Partition,
		Owned:     c.owned,
		Releasing: len(c.releasing) > 0,
		Epoch:     c.lease.Epoch,
		Queued:    c.queued.size,
		Recent:    c.recent.order.Len(),
		Executors: []ExecutorDump{},
		Teams:     []TeamDump{},
	}
	for _, req := range c.inFlight {
		if req.state == stateRecording {
			d.Recording++
		}
	}
	for _, e := range c.sortedExecutors() {
		d.Executors = append(d.Executors, e.dump())
	}
	for name, t := range c.queued.teams {
		d.Teams = append(d.Teams, TeamDump{
			Team:        name,
			Share:       t.share,
			Queued:      t.size,
			Active:      c.activeByTeam[name],
			HeldSlots:   c.options.Ledger.Allotment(name).Slots,
			VirtualTime: t.virtualTime,
		})
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	return d
}

func (e *executor) dump() ExecutorDump {
	return ExecutorDump{
		VM:       e.vm.Id,
		State:    e.vm.State,
		Slots:    e.slots(),
		Active:   len(e.ownActive),
		Orphans:  e.orphans.count(),
		Fenced:   e.activeKnown,
		Usable:   e.usable,
		Draining: e.draining,
		Unlisted: e.unlisted,
		Failures: e.failures,
	}
}
