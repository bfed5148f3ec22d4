package requests

import (
	"sort"

	"github.com/endivehill/endivehill/internal/api"
)

// Dump is the state of a partition for operators.
type Dump struct {
	Partition string         `json:"partition"`
	Owned     bool           `json:"owned"`
	Releasing bool           `json:"releasing"`
	Epoch     int            `json:"epoch"`
	Queued    int            `json:"queued"`
	Settling  int            `json:"settling"`
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
	Gone     bool        `json:"gone"`
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

func (s *control) dump() Dump {
	d := Dump{
		Partition: s.o.Partition,
		Owned:     s.owned,
		Releasing: len(s.releasing) > 0,
		Epoch:     s.lease.Epoch,
		Queued:    s.queues.size,
		Recent:    s.recent.order.Len(),
		Executors: []ExecutorDump{},
		Teams:     []TeamDump{},
	}
	for _, c := range s.calls {
		if c.state == stateSettling {
			d.Settling++
		}
	}
	for _, e := range s.sortedExecutors() {
		d.Executors = append(d.Executors, e.dump())
	}
	for name, t := range s.queues.teams {
		d.Teams = append(d.Teams, TeamDump{
			Team:        name,
			Share:       t.share,
			Queued:      t.size,
			Active:      s.active[name],
			HeldSlots:   s.o.Ledger.Held(name).Slots,
			VirtualTime: t.virtual,
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
		Active:   len(e.own),
		Orphans:  e.orphans.count(),
		Fenced:   e.counted,
		Usable:   e.usable,
		Draining: e.draining,
		Gone:     e.gone,
		Failures: e.failures,
	}
}
