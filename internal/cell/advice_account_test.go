package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// Guards against scarce advice that the log does not show: which queue uses it, and which waits.
func TestAdviceUseAndWaitsAreLogged(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.runFor(time.Second)
	for n := range 3 {
		sim.submit(oneStep(1+n, "long", tasksOf(1, 300)))
	}
	sim.cell.loadLoggedAt = sim.now
	sim.runFor(300 * time.Millisecond)
	sim.cell.logAdviceLoad()
	fields := map[event.Event]map[any]any{}
	for _, line := range sim.cell.DrainLogLines() {
		fields[line.Event] = map[any]any{}
		for i := 0; i < len(line.Fields); i += 2 {
			fields[line.Event][line.Fields[i]] = line.Fields[i+1]
		}
	}
	queue, nodes := fields[event.QueueAdviceLoad], fields[event.AdviceLoad]
	if queue["queue"] != "long" || queue["calls"] != 2 || queue["first_ms"] != int64(448) || queue["waiting_steps"] != 2 {
		t.Errorf("queue: %v", queue)
	}
	if nodes["nodes"] != 1 || nodes["answering"] != 1 || nodes["used_ms"] != int64(448) {
		t.Errorf("nodes: %v", nodes)
	}
}
