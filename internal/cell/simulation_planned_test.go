package cell

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// plannedWork plays planned work in a cell: nodes stop one after the other, so that owners follow
// each other, and workers drain while others join. Nothing else is disturbed.
type plannedWork struct {
	*simulation
	rand     *rand.Rand
	shape    plannedShape
	nodes    []*plannedNode
	owner    *plannedNode // the node that owns the cell, or will own it next
	loaded   bool         // the owner has loaded the records
	results  []adviceAnswer
	calls    []AdviceCallInFlight     // of the earlier owner
	listed   []WorkerInfo             // when the owner that loads the records claimed the cell
	departed []WorkerRef              // since then
	services []*api.WorkSpec          // the long-running works
	tasks    map[string]*plannedTask  // of these
	idle     map[string]time.Duration // since when a work has nothing running
	next     int                      // number of the next work
	joined   int                      // workers so far
	seen     map[string]bool          // runs of long-running tasks, by task and attempt
	trace    map[string][]string      // by step; of the owners under the empty name
	longest  time.Duration            // longest absence of a task
	ended    bool                     // the traffic has ended
	settled  bool                     // the works have had time to begin since then
}

// plannedShape is what a seed varies.
type plannedShape struct {
	workers       int
	nodes         int
	stopping      int // nodes that are stopping or away at any time
	tenure        [2]time.Duration
	load          [2]time.Duration // until an owner has loaded the records
	handsOver     float64          // share of the owners that hand over without a release
	drainEvery    time.Duration
	failShare     float64 // share of the runs of long-running tasks that end by themselves
	utilization   float64 // that the short works would take
	mediumWorks   float64 // a second
	services      int
	serviceCPU    int
	maxPerWorker  int
	workerCPU     int
	simulatedTime time.Duration
}

// plannedNode is a node that makes calls to the adviser.
type plannedNode struct {
	address string
	stopsAt time.Duration // its last call to the adviser has to end by then; 0 while it stays
	endsAt  time.Duration // end of its process
	away    bool
	busy    time.Duration // end of its calls
	life    int           // processes of the node so far
}

// adviceAnswer is an answer of the adviser that owners pass on to the next one.
type adviceAnswer struct {
	InheritedAdvice
	epoch int // of the last owner that has it
}

// Times of planned work.
const (
	adviceValidity = 2 * time.Second
	minPassedTime  = 300 * time.Millisecond  // validity left of an answer that is passed on
	minPassedCall  = 100 * time.Millisecond  // expected time of a call whose answer is passed on
	answerSlack    = 1500 * time.Millisecond // time that an answer may take beyond its expected time
	passOnDelay    = 20 * time.Millisecond
	firstContact   = 100 * time.Millisecond  // from the load to the first call to the adviser
	stoppingTime   = 5 * time.Second         // for which a stopping node makes calls to the adviser
	returnsAfter   = 1500 * time.Millisecond // from the end of a node to its next process
	joinsAfter     = 500 * time.Millisecond  // from the departure of a worker to the next one
	endOfTraffic   = 20 * time.Second        // before the end of the simulation
	settledTime    = 8 * time.Second         // the same, once the works that were accepted last have had maxAdviceWait
	plannedStep    = 50 * time.Millisecond   // between two looks at the cell

	permittedShare = 0.3 // of the workers, for each step
)

// newPlannedWork returns the planned work of a seed, without an owner.
func newPlannedWork(t simulationTB, seed uint64) *plannedWork {
	p := &plannedWork{
		simulation: newSimulation(t, seed), rand: rand.New(rand.NewPCG(seed, 5)), seen: map[string]bool{}, trace: map[string][]string{}, tasks: map[string]*plannedTask{}, idle: map[string]time.Duration{},
	}
	p.shape = p.drawShape()
	p.allowedShare = permittedShare
	p.simulation.adviser = p.advise
	p.manyWorkers = true
	long := &work.Advice{CallDuration: 728 * time.Millisecond, DurationPerWorker: 10400 * time.Microsecond, ValidFor: adviceValidity}
	p.queue("services", 0, long)
	p.queue("short", 0, &work.Advice{CallDuration: 15600 * time.Microsecond, DurationPerWorker: 220 * time.Microsecond, ValidFor: adviceValidity})
	p.queue("medium", 1, &work.Advice{CallDuration: 200 * time.Millisecond, DurationPerWorker: 3 * time.Millisecond, ValidFor: adviceValidity})
	for range p.shape.workers {
		p.joinWorker()
	}
	for n := range p.shape.nodes {
		p.nodes = append(p.nodes, &plannedNode{address: fmt.Sprintf("n%02d", n)})
	}
	return p
}

// drawShape draws what varies by seed.
func (p *plannedWork) drawShape() plannedShape {
	ms := time.Millisecond
	s := plannedShape{
		workers: 250, nodes: 30, stopping: p.rand.IntN(9), failShare: 0.1,
		tenure:     [][2]time.Duration{{500 * ms, 2 * time.Second}, {time.Second, 4 * time.Second}, {2 * time.Second, 6 * time.Second}, {500 * ms, 6 * time.Second}}[p.rand.IntN(4)],
		load:       [][2]time.Duration{{100 * ms, 150 * ms}, {100 * ms, 400 * ms}, {100 * ms, time.Second}}[p.rand.IntN(3)],
		handsOver:  []float64{0, 0, 0, 0.3}[p.rand.IntN(4)],
		drainEvery: []time.Duration{200 * ms, 500 * ms, 2 * time.Second}[p.rand.IntN(3)],
		services:   10 + p.rand.IntN(40), serviceCPU: []int{500, 1000, 2000, 4000, 6000}[p.rand.IntN(5)],
		utilization: 0.6 + 0.5*p.rand.Float64(), mediumWorks: 8 * p.rand.Float64(),
		maxPerWorker: p.rand.IntN(3), workerCPU: 8000,
		simulatedTime: 48 * time.Second,
	}
	if p.rand.IntN(3) == 0 {
		s.workers = 98
	}
	if p.rand.IntN(3) == 0 {
		s.nodes = 3 + p.rand.IntN(6)
		s.stopping = p.rand.IntN(max(1, s.nodes/3))
	}
	s.drainEvery = max(s.drainEvery, s.shortestDrainInterval())
	return s
}

// shortestDrainInterval returns the time between departures of workers with which the calls for the
// long-running tasks there take a share of the time of the nodes that leaves enough to other calls.
func (s *plannedShape) shortestDrainInterval() time.Duration {
	const (
		nodeShare       = 0.4
		callTime        = 1100 * time.Millisecond
		tasksPerService = 2.5
	)
	tasksPerWorker := tasksPerService * float64(s.services) / float64(s.workers)
	return time.Duration(tasksPerWorker * float64(callTime) / (nodeShare * float64(s.nodes-s.stopping)))
}

// joinWorker adds a worker.
func (p *plannedWork) joinWorker() {
	p.addWorker(fmt.Sprintf("w%03d", p.joined), work.Resources{CPUMillis: p.shape.workerCPU, MemoryMB: 2 * p.shape.workerCPU})
	p.joined++
	p.updateWorkers()
}

// between draws a time.
func (p *plannedWork) between(limits [2]time.Duration) time.Duration {
	return limits[0] + time.Duration(p.rand.Int64N(int64(limits[1]-limits[0])+1))
}

// tracef notes what has happened to a step.
func (p *plannedWork) tracef(step, format string, args ...any) {
	p.trace[step] = append(p.trace[step], fmt.Sprintf("%8.3f ", (p.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
}

// tenuref notes what has happened to the owner.
func (p *plannedWork) tenuref(format string, args ...any) { p.tracef("", format, args...) }

// stopNodes begins the stops of nodes, and starts those again that were away.
func (p *plannedWork) stopNodes() {
	unfit := 0
	for _, n := range p.nodes {
		if n.away || n.stopsAt != 0 {
			unfit++
		}
	}
	for ; unfit < p.shape.stopping; unfit++ {
		n := p.nodes[p.rand.IntN(len(p.nodes))]
		if n.away || n.stopsAt != 0 || n == p.owner {
			continue
		}
		n.stopsAt = p.now + stoppingTime - time.Duration(p.rand.Int64N(int64(2*time.Second)))
		n.endsAt = n.stopsAt + 300*time.Millisecond
		p.after(n.endsAt-p.now, func() {
			n.away, n.stopsAt = true, 0
			n.life++
			p.after(returnsAfter, func() { n.away, n.busy = false, 0; p.setAdviceNodes() })
		})
		p.setAdviceNodes()
	}
}

// setAdviceNodes tells the owner which nodes can call the adviser.
func (p *plannedWork) setAdviceNodes() {
	if p.cell == nil || !p.loaded {
		return
	}
	var members []string
	stopping := map[string]time.Duration{}
	for _, n := range p.nodes {
		switch {
		case n.away:
		case n.stopsAt != 0 && n != p.owner:
			stopping[n.address] = n.stopsAt
		default:
			members = append(members, n.address)
		}
	}
	p.cell.SetStoppingNodes(stopping)
	p.cell.SetAdviceNodes(members)
}

// replaceOwner makes a node own the cell for some time, and the next one after it.
func (p *plannedWork) replaceOwner() {
	if p.cell != nil {
		p.endTenure()
	}
	var fit []*plannedNode
	for _, n := range p.nodes {
		if !n.away && n.stopsAt == 0 && n != p.owner {
			fit = append(fit, n)
		}
	}
	p.owner = fit[p.rand.IntN(len(fit))]
	load := p.between(p.shape.load)
	tenure := load + p.between(p.shape.tenure)
	if p.epoch == 0 {
		tenure += 4 * time.Second // the first works are submitted
	}
	gap := time.Duration(20+p.rand.IntN(80)) * time.Millisecond
	p.after(gap, func() { p.listed = p.listWorkers() })
	p.after(gap+load, func() {
		p.ownerAddress = p.owner.address
		p.startOwner()
		p.cell.SetWorkers(p.listed)
		p.cell.WorkersDeparted(p.departed)
		p.updateWorkers()
		p.listed, p.departed = nil, nil
		p.cell.SetAdviceNodes(nil)
		p.forgetUnstored()
		p.tenuref("owner %s has loaded after %v, for %v", p.owner.address, load, tenure-load)
		c := p.cell
		p.after(passOnDelay, func() {
			p.passOnAll(c)
			p.toCell(c, func(c *Cell) {
				c.AdviceCallsInherited(p.calls)
				p.calls = nil
			})
		})
		p.after(firstContact, func() {
			if p.cell == c {
				p.loaded = true
				p.setAdviceNodes()
			}
		})
	})
	p.after(gap+tenure, p.replaceOwner)
}

// endTenure ends the tenure of the owner.
func (p *plannedWork) endTenure() {
	p.loaded = false
	how := "releases the cell"
	if p.cell != nil {
		p.calls = p.cell.AdviceCallsInFlight()
	}
	if p.rand.Float64() < p.shape.handsOver && *plannedHandover {
		how = "hands over"
		p.cell = nil
	} else {
		p.release()
	}
	p.tenuref("owner %s %s", p.owner.address, how)
}

// advise carries out a call to the adviser.
func (p *plannedWork) advise(a AdviceCall) {
	c, epoch, asker := p.cell, p.epoch, p.owner
	step := a.Step.String()
	node := p.node(a.Node)
	life, asked := node.life, node.address == asker.address
	if node.away {
		p.tracef(step, "call %d through %s, which is away", a.ID, a.Node)
		p.after(networkDelay, func() { p.toCell(c, func(c *Cell) { c.AdviceFailed(a.ID) }) })
		return
	}
	advice := p.config.Queues[p.specs[a.Step.Work].Queue].Advice
	node.busy = max(node.busy, p.now) + advice.CallDuration + time.Duration(len(a.Workers))*advice.DurationPerWorker
	p.tracef(step, "call %d through %s (own %v, stops in %v) for %d workers, answer in %v, expected in %v", a.ID, a.Node, asked, node.stopsAt-p.now, len(a.Workers), node.busy-p.now, a.ExpectedTime)
	if node.busy > p.now+a.ExpectedTime+answerSlack {
		p.tracef(step, "call %d will time out", a.ID)
		p.after(a.ExpectedTime+answerSlack, func() { p.toCell(c, func(c *Cell) { c.AdviceFailed(a.ID) }) })
		return
	}
	p.after(node.busy-p.now, func() {
		if node.life != life {
			p.tracef(step, "call %d failed, %s has ended", a.ID, a.Node)
			p.toCell(c, func(c *Cell) { c.AdviceFailed(a.ID) })
			return
		}
		tickets := p.issueTickets(a)
		p.tracef(step, "call %d answered, %d tickets, same owner %v", a.ID, len(tickets), p.cell == c)
		p.after(2*networkDelay, func() { p.toCell(c, func(c *Cell) { c.AdviceAnswered(a.ID, tickets, adviceValidity) }) })
		if a.ExpectedTime >= minPassedCall {
			p.results = append(p.results, adviceAnswer{InheritedAdvice{a.Step, a.Workers, tickets, p.now + adviceValidity}, epoch})
			p.after(passOnDelay, func() {
				if p.cell != nil {
					p.passOnAll(p.cell)
				}
			})
		}
	})
}

// issueTickets returns the tickets that the adviser issues in answer to a call.
func (p *plannedWork) issueTickets(a AdviceCall) map[string]string {
	tickets := map[string]string{}
	for _, id := range a.Workers {
		if p.allowed(a.Step.String(), id) {
			ticket := fmt.Sprintf("%d.%d", p.epoch, a.ID)
			tickets[id] = ticket
			p.tickets[a.Step.String()+id+ticket] = p.now + adviceValidity
		}
	}
	return tickets
}

// passOnAll passes the answers to calls of earlier owners to the owner.
func (p *plannedWork) passOnAll(c *Cell) {
	if p.cell != c {
		return
	}
	kept := p.results[:0]
	for _, r := range p.results {
		if r.Expires-p.now < minPassedTime {
			continue
		}
		if r.epoch < p.epoch {
			r.epoch = p.epoch
			c.AdviceInherited(&r.InheritedAdvice)
		}
		kept = append(kept, r)
	}
	p.results = kept
}

func (p *plannedWork) node(address string) *plannedNode {
	for _, n := range p.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// drainWorker makes a worker leave, and another one join later.
func (p *plannedWork) drainWorker() {
	f := p.workers[fmt.Sprintf("w%03d", p.rand.IntN(p.joined))]
	if f.draining {
		return
	}
	notice := 3 * time.Second
	f.draining, f.timeToLeave = true, notice
	if p.rand.IntN(2) == 0 {
		notice, f.timeToLeave = 2*time.Second, 0
	}
	p.updateWorkers()
	p.after(notice, func() {
		f.exitProcess()
		f.listed = false
		if p.cell != nil {
			p.cell.WorkersDeparted([]WorkerRef{f.info().WorkerRef})
		} else if p.listed != nil {
			p.departed = append(p.departed, f.info().WorkerRef)
		}
		p.updateWorkers()
		p.after(joinsAfter, p.joinWorker)
	})
}
