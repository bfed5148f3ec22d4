package cell

import (
	"slices"
	"strings"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Dump is the state of a cell for debugging.
type Dump struct {
	Works   []WorkDump   `json:"works"`
	Workers []WorkerDump `json:"workers"`
	Teams   []TeamDump   `json:"teams"`
	// EvacuatedDomains are the failure domains in which nothing is started. EvacuationsAgeMs is
	// the time since the table service last confirmed that there are no others, -1 if it never
	// did.
	EvacuatedDomains []EvacuatedDomainDump `json:"evacuated_domains"`
	EvacuationsAgeMs int64                 `json:"evacuations_age_ms"`
}

// EvacuatedDomainDump is the state of an evacuated failure domain.
type EvacuatedDomainDump struct {
	Domain      string `json:"domain"`
	EvacuatedMs int64  `json:"evacuated_ms"` // since this owner learned of the request
	Workers     int    `json:"workers"`
	Runs        int    `json:"runs"` // that are left
}

// WorkDump is the state of a work that is not finished.
type WorkDump struct {
	ID         string        `json:"id"`
	Queue      string        `json:"queue"`
	Team       string        `json:"team"`
	State      api.WorkState `json:"state"`
	DeadlineMs int64         `json:"deadline_ms"` // time left until the earliest deadline of its occurrences
	Steps      []StepDump    `json:"steps"`
}

// StepDump is the state of a step.
type StepDump struct {
	Occurrence int  `json:"occurrence"`
	Step       int  `json:"step"`
	Tasks      int  `json:"tasks"`
	Open       int  `json:"open"`    // tasks that are not done
	Waiting    int  `json:"waiting"` // tasks that wait for placement
	Blocked    int  `json:"blocked"` // steps that it depends on that are not done
	Advised    bool `json:"advised"`
	Tickets    int  `json:"tickets"` // workers that advice permits to run it
}

// WorkerDump is the state of a worker.
type WorkerDump struct {
	ID       string         `json:"id"`
	Pool     string         `json:"pool"`
	Capacity work.Resources `json:"capacity"`
	Used     work.Resources `json:"used"`
	Runs     int            `json:"runs"`
	Open     bool           `json:"open"`   // accepts new tasks
	Silent   bool           `json:"silent"` // does not answer polls in time
	Draining bool           `json:"draining"`
	// FailureDomain is that of the list of workers; Evacuated tells whether it is evacuated.
	FailureDomain string `json:"failure_domain"`
	Evacuated     bool   `json:"evacuated"`
	// RoundTripMs is the smoothed time until it answers, 0 if it is not known, and ReportAgeMs
	// the time since its last report, -1 before the first.
	RoundTripMs int64 `json:"round_trip_ms"`
	ReportAgeMs int64 `json:"report_age_ms"`
}

// TeamDump is the quota and usage of a client account.
type TeamDump struct {
	Name  string         `json:"name"`
	Used  work.Resources `json:"used"`
	Limit work.Resources `json:"limit"`
}

// Dump returns the state of the cell for debugging.
func (c *Cell) Dump() *Dump {
	d := &Dump{EvacuationsAgeMs: c.evacuationsAgeMs()}
	for _, name := range c.evacuations.requested {
		d.EvacuatedDomains = append(d.EvacuatedDomains, EvacuatedDomainDump{
			Domain: name, EvacuatedMs: c.sinceMs(c.evacuations.domains[name].since), Workers: c.countWorkersIn(name), Runs: c.countRunsIn(name),
		})
	}
	for _, aw := range c.works {
		d.Works = append(d.Works, c.dumpWork(aw))
	}
	for _, w := range c.fleet {
		d.Workers = append(d.Workers, WorkerDump{
			ID: w.info.ID, Pool: w.info.Pool, Capacity: w.info.Capacity, Used: w.used, Runs: len(w.runs),
			Open: c.acceptsTasks(w), Silent: w.unresponsiveSince != 0, Draining: w.info.Draining,
			FailureDomain: w.info.FailureDomain, Evacuated: w.evacuated,
			RoundTripMs: w.roundTrip.smoothed.Milliseconds(), ReportAgeMs: c.sinceMs(w.reportedAt),
		})
	}
	for _, t := range c.teams {
		d.Teams = append(d.Teams, TeamDump{t.name, t.used, t.limit})
	}
	slices.SortFunc(d.Works, func(a, b WorkDump) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Teams, func(a, b TeamDump) int { return strings.Compare(a.Name, b.Name) })
	return d
}

func (c *Cell) dumpWork(aw *activeWork) WorkDump {
	d := WorkDump{ID: aw.spec.Id, Queue: aw.spec.Queue, Team: aw.spec.Team, State: aw.state}
	for i, o := range aw.occurrences {
		if left := (o.deadline - c.now).Milliseconds(); i == 0 || left < d.DeadlineMs {
			d.DeadlineMs = left
		}
		for _, s := range o.steps {
			d.Steps = append(d.Steps, StepDump{
				Occurrence: o.number, Step: s.number, Tasks: len(s.tasks), Open: s.unfinished, Waiting: s.waiting,
				Blocked: s.pendingDependencies, Advised: s.advice.answered, Tickets: len(s.advice.tickets),
			})
		}
	}
	return d
}
