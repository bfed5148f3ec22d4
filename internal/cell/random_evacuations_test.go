package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomEvacuationSeeds is the number of seeds with random evacuations.
const randomEvacuationSeeds = 60

// Guards against starts in evacuated failure domains, tasks that run twice and works that never
// end, while requests come and go, the copy of the requests stalls, and workers, owners, calls and
// the store fail. The simulation checks each start.
func TestRandomEvacuations(t *testing.T) {
	for seed := range uint64(randomEvacuationSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomEvacuations(t, seed) })
	}
}

func runRandomEvacuations(t *testing.T, seed uint64) {
	const rounds, domains, services = 40, 3, 2
	sim := newSimulation(t, seed)
	sim.evacuations.maxAge = 3 * time.Second
	random := rand.New(rand.NewPCG(seed, 4))
	sim.answerLossShare, sim.lateCallShare, sim.failShare, sim.allowedShare = 0.05, 0.02, 0.02, 0.6
	sim.queue("advised", 0, shortAdvice())
	sim.addWorkers(9)
	for n := range 9 {
		sim.workers[fmt.Sprintf("w%d", n)].domain = fmt.Sprintf("f%d", n%domains)
	}
	sim.startOwner()
	for n := range services {
		sim.submit(oneStep(1000+n, []string{"quotes", "advised"}[n], longRunningStep(3, 1)))
	}
	sim.runFor(time.Second)
	for n := range rounds {
		sim.randomSubmission(n)
		sim.randomFault()
		sim.randomEvacuation(random, domains)
		sim.runFor(500 * time.Millisecond)
	}
	sim.clearFaults()
	sim.evacuations.copyStalled = false
	sim.evacuate()
	sim.runUntil(120*time.Second, "all works ended", func() bool {
		for id := range sim.specs {
			if !sim.ended[id] && !sim.specs[id].Steps[0].LongRunning {
				return false
			}
		}
		return true
	})
}

// randomEvacuation requests or withdraws evacuations, or stalls the copy of the requests.
func (sim *simulation) randomEvacuation(random *rand.Rand, domains int) {
	switch random.IntN(6) {
	case 0:
		sim.evacuate()
	case 1:
		sim.evacuate(fmt.Sprintf("f%d", random.IntN(domains)))
	case 2:
		sim.evacuate("f0", fmt.Sprintf("f%d", 1+random.IntN(domains-1)))
	case 3:
		sim.evacuations.copyStalled = true
		sim.after(time.Duration(random.IntN(6000))*time.Millisecond, func() { sim.evacuations.copyStalled = false })
	}
}
