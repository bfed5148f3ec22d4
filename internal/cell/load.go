package cell

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/work"
)

// loadLogInterval is the time between two logs of the load.
const loadLogInterval = time.Second

// logLoad logs the load of the pools, queues and teams.
func (c *Cell) logLoad() {
	if c.now-c.loadLoggedAt < loadLogInterval {
		return
	}
	c.loadLoggedAt = c.now
	pools := map[string]*poolLoad{}
	pool := func(name string) *poolLoad {
		if pools[name] == nil {
			pools[name] = &poolLoad{queues: map[string]*queueLoad{}}
		}
		return pools[name]
	}
	for _, w := range c.fleet {
		p := pool(w.info.Pool)
		p.add(w, c.acceptsTasks(w))
	}
	for _, s := range c.ready {
		if q := pool(s.work.queue.Pool).queue(s); q != nil {
			q.waiting += s.waiting
		}
	}
	c.logTeamLoad()
	c.logAdviceLoad()
	c.logWaitingSteps()
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if len(pools[name].queues) > 0 {
			pools[name].log(c, name)
		}
	}
}

// logTeamLoad logs the usage of the teams that have waiting tasks.
func (c *Cell) logTeamLoad() {
	waiting := map[*team]int{}
	for _, s := range c.ready {
		waiting[s.work.team] += s.waiting
	}
	names := make([]string, 0, len(waiting))
	for t := range waiting {
		names = append(names, t.name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := c.teams[name]
		c.log(event.TeamLoad, "team", name, "waiting", waiting[t],
			"cpu_millis", t.used.CPUMillis, "cpu_millis_limit", t.limit.CPUMillis, "memory_mb", t.used.MemoryMB, "memory_mb_limit", t.limit.MemoryMB,
			"accelerators", t.used.Accelerators, "accelerators_limit", t.limit.Accelerators)
	}
}

// poolLoad is the load of a pool. Closed workers accept no new tasks; their capacity and
// usage are not counted.
type poolLoad struct {
	workers, closed int
	capacity, used  work.Resources
	queues          map[string]*queueLoad
}

// queueLoad is the load of a queue in a pool.
type queueLoad struct {
	runs, waiting int
	used          work.Resources
}

func (p *poolLoad) add(w *worker, available bool) {
	p.workers++
	if !available {
		p.closed++
		return
	}
	p.capacity = p.capacity.Plus(w.info.Capacity)
	p.used = p.used.Plus(w.used)
	for _, r := range w.runs {
		q := p.queue(r.task.step)
		q.runs++
		q.used = q.used.Plus(r.size)
	}
}

func (p *poolLoad) queue(s *step) *queueLoad {
	name := s.work.spec.Queue
	if s.spec.Opportunistic {
		name += "/opportunistic"
	}
	if p.queues[name] == nil {
		p.queues[name] = &queueLoad{}
	}
	return p.queues[name]
}

// log logs the totals of the pool, then each queue.
func (p *poolLoad) log(c *Cell, name string) {
	c.log(event.PoolLoad, "pool", name, "workers", p.workers, "closed", p.closed, "cpu_millis", p.used.CPUMillis, "cpu_millis_of", p.capacity.CPUMillis,
		"memory_mb", p.used.MemoryMB, "memory_mb_of", p.capacity.MemoryMB, "accelerators", p.used.Accelerators, "accelerators_of", p.capacity.Accelerators)
	names := make([]string, 0, len(p.queues))
	for name := range p.queues {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, queue := range names {
		q := p.queues[queue]
		c.log(event.QueueLoad, "pool", name, "queue", queue, "runs", q.runs, "cpu_millis", q.used.CPUMillis, "memory_mb", q.used.MemoryMB, "waiting", q.waiting)
	}
}
