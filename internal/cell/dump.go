package cell

import (
	"slices"
	"strings"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Dump is the state of a cell for people.
type Dump struct {
	Works   []WorkDump   `json:"works"`
	Workers []WorkerDump `json:"workers"`
	Teams   []TeamDump   `json:"teams"`
}

// WorkDump is a work that is not finished.
type WorkDump struct {
	ID         string        `json:"id"`
	Queue      string        `json:"queue"`
	Team       string        `json:"team"`
	State      api.WorkState `json:"state"`
	DeadlineMs int64         `json:"deadline_ms"` // time left until it should be done
	Steps      []StepDump    `json:"steps"`
}

// StepDump is a step of a work.
type StepDump struct {
	Occurrence int  `json:"occurrence"`
	Step       int  `json:"step"`
	Tasks      int  `json:"tasks"`
	Open       int  `json:"open"`    // not done
	Waiting    int  `json:"waiting"` // to be placed
	Blocked    int  `json:"blocked"` // earlier steps that are not done
	Advised    bool `json:"advised"`
	Tickets    int  `json:"tickets"` // workers that may run it
}

// WorkerDump is a worker.
type WorkerDump struct {
	ID       string         `json:"id"`
	Pool     string         `json:"pool"`
	Capacity work.Resources `json:"capacity"`
	Used     work.Resources `json:"used"`
	Runs     int            `json:"runs"`
	Open     bool           `json:"open"` // takes new tasks
	Silent   bool           `json:"silent"`
	Draining bool           `json:"draining"`
}

// TeamDump is a client account.
type TeamDump struct {
	Name  string         `json:"name"`
	Used  work.Resources `json:"used"`
	Limit work.Resources `json:"limit"`
}

// Dump returns the state of the cell.
func (c *Cell) Dump() *Dump {
	d := &Dump{}
	for _, j := range c.jobs {
		d.Works = append(d.Works, c.dumpJob(j))
	}
	for _, w := range c.fleet {
		d.Workers = append(d.Workers, WorkerDump{
			ID: w.info.ID, Pool: w.info.Pool, Capacity: w.info.Capacity, Used: w.used, Runs: len(w.runs),
			Open: c.takesWork(w), Silent: w.silentSince != 0, Draining: w.info.Draining,
		})
	}
	for _, t := range c.teams {
		d.Teams = append(d.Teams, TeamDump{t.name, t.used, t.limit})
	}
	slices.SortFunc(d.Works, func(a, b WorkDump) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Teams, func(a, b TeamDump) int { return strings.Compare(a.Name, b.Name) })
	return d
}

func (c *Cell) dumpJob(j *job) WorkDump {
	d := WorkDump{ID: j.spec.Id, Queue: j.spec.Queue, Team: j.spec.Team, State: j.state}
	for i, o := range j.occs {
		if left := (o.deadline - c.now).Milliseconds(); i == 0 || left < d.DeadlineMs {
			d.DeadlineMs = left
		}
		for _, s := range o.steps {
			d.Steps = append(d.Steps, StepDump{
				Occurrence: o.number, Step: s.number, Tasks: len(s.tasks), Open: s.open, Waiting: s.waiting,
				Blocked: s.waits, Advised: s.advice.answered, Tickets: len(s.advice.tickets),
			})
		}
	}
	return d
}
