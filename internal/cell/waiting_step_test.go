package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// Guards against works that wait for advice until the end without a log of the reason.
func TestStepWithoutAdviceIsLoggedWithTheReason(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w0", smallWorker)
	sim.queue("advised", 0, shortAdvice())
	sim.startOwner()
	sim.adviceFails = true
	sim.submit(oneStep(1, "advised", tasksOf(2, 100)))
	sim.runFor(waitLogThreshold + time.Second)
	sim.cell.logWaitingSteps()
	lines := sim.cell.DrainLogLines()
	if len(lines) != 1 || lines[0].Event != event.StepWaits {
		t.Fatalf("logged %+v", lines)
	}
	fields := map[any]any{}
	for i := 0; i < len(lines[0].Fields); i += 2 {
		fields[lines[0].Fields[i]] = lines[0].Fields[i+1]
	}
	if fields["work"] != workID(1) || fields["waiting"] != 2 || fields["not_queried"] != 1 {
		t.Errorf("fields %+v", fields)
	}
}
