package requests

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Guards against more active requests on an executor than it has slots,
// including requests of a previous owner (guarantee 1), and against slots that
// stay unused after those have ended.
func TestSlotsOverOwners(t *testing.T) {
	for _, countOnly := range []bool{false, true} {
		t.Run(fmt.Sprintf("countOnly=%v", countOnly), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t, 2)
				cell.executors.countOnly = countOnly
				cell.executors.runTime = 3 * time.Second
				old := cell.startOwner()
				for i := range 10 {
					executeAsync(t.Context(), old, request("gallery.quote", fmt.Sprintf("old-%d", i), ""))
				}
				time.Sleep(time.Second)
				next := cell.startOwner()
				var answers []*asyncResponse
				for i := range 75 {
					answers = append(answers, executeAsync(t.Context(), next, request("gallery.quote", fmt.Sprintf("new-%d", i), "")))
				}
				for _, after := range []time.Duration{time.Second, 10500 * time.Millisecond} {
					time.Sleep(after)
					if n := cell.executors.activeCount(); n != 16 {
						t.Errorf("%d requests are active, want all 16 slots in use", n)
					}
				}
				for _, a := range answers {
					<-a.done
					if a.err != nil {
						t.Errorf("request failed: %v", a.err)
					}
				}
				for vm, e := range cell.executors.byVM {
					if e.peakActive > 8 {
						t.Errorf("%s had %d active requests", vm, e.peakActive)
					}
				}
			})
		})
	}
}

// Guards against more active requests than slots on an executor that left the VM list and
// came back while it ran requests whose answers are lost (guarantee 1).
func TestLostAnswersOfARelistedExecutorKeepTheirSlots(t *testing.T) {
	const deadline, stillActive = 2 * time.Second, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 1)
		cell.executors.delayAfterLoss = stillActive
		cell.executors.runTime = time.Second
		cell.executors.setBehavior(func(_ string, in *api.ExecutorCall) (bool, error) {
			if in.RequestId[0] != 'l' {
				return false, nil
			}
			time.Sleep(deadline)
			return true, errkind.New(errkind.OutcomeUnknown, "", "no answer before the deadline")
		})
		p := cell.startOwner()
		time.Sleep(time.Second)
		var answers []*asyncResponse
		for i := range 8 {
			lost := request("gallery.quote", fmt.Sprintf("lost-%d", i), "")
			lost.TimeoutMs = int(deadline / time.Millisecond)
			answers = append(answers, executeAsync(t.Context(), p, lost))
		}
		time.Sleep(deadline / 2)
		p.SetFleet(nil)
		time.Sleep(deadline / 4)
		p.SetFleet(cell.fleet)
		for i := range 8 {
			answers = append(answers, executeAsync(t.Context(), p, request("gallery.quote", fmt.Sprintf("new-%d", i), "")))
		}
		for _, a := range answers {
			<-a.done
		}
		if n := cell.executors.byVM["vm-0"].peakActive; n > 8 {
			t.Errorf("%d requests were active on 8 slots", n)
		}
		if n := cell.executors.runsOf("new-7"); n != 1 {
			t.Errorf("the last request ran %d times, want once", n)
		}
	})
}

// Guards against a lost request that arrives late and runs after its slot was
// given to another request (guarantee 1). A new fence generation makes the executor
// refuse it; this must not fail requests of other callers that are in transit.
func TestLateRequestTakesNoSlot(t *testing.T) {
	for _, countOnly := range []bool{false, true} {
		t.Run(fmt.Sprintf("countOnly=%v", countOnly), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const late = 500 * time.Millisecond
				cell := newTestCell(t, 1)
				cell.executors.countOnly = countOnly
				cell.executors.runTime = time.Second
				p := cell.startOwner()
				time.Sleep(time.Second)
				cell.executors.setBehavior(func(vm string, in *api.ExecutorCall) (bool, error) {
					if in.RequestId[0] != 'l' {
						time.Sleep(10 * time.Millisecond) // in transit when a new generation begins
						return false, nil
					}
					time.AfterFunc(late, func() {
						if cell.executors.begin(vm, in, nil, false) == nil {
							time.AfterFunc(cell.executors.runTime, func() { cell.executors.finish(vm, in) })
						}
					})
					return false, errkind.New(errkind.OutcomeUnknown, "", "no answer before the deadline")
				})
				var answers []*asyncResponse
				for i := range 30 {
					lost := request("gallery.quote", fmt.Sprintf("lost-%d", i), "")
					lost.TimeoutMs = 1
					executeAsync(t.Context(), p, lost)
					answers = append(answers, executeAsync(t.Context(), p, request("gallery.quote", fmt.Sprintf("new-%d", i), "")))
					time.Sleep(20 * time.Millisecond)
				}
				for _, a := range answers {
					<-a.done
					if a.err != nil {
						t.Errorf("request failed: %v", a.err)
					}
				}
				if peak := cell.executors.byVM["vm-0"].peakActive; peak > 8 {
					t.Errorf("%d active requests", peak)
				}
			})
		})
	}
}

// Guards against new work for an executor that refuses it or is leaving, and
// against excluding an executor permanently after it has recovered (guarantee
// 8).
func TestLeavingExecutors(t *testing.T) {
	cases := []struct {
		name  string
		leave func(cell *testCell, p *Partition)
		back  func(cell *testCell, p *Partition)
	}{
		{
			"refused connections",
			func(cell *testCell, _ *Partition) {
				cell.executors.set("vm-0", func(e *fakeExecutor) { e.down = true })
			},
			func(cell *testCell, _ *Partition) {
				cell.executors.set("vm-0", func(e *fakeExecutor) { e.down = false })
			},
		},
		{
			"draining",
			func(cell *testCell, _ *Partition) {
				cell.executors.set("vm-0", func(e *fakeExecutor) { e.draining = true })
			},
			func(cell *testCell, _ *Partition) {
				cell.executors.set("vm-0", func(e *fakeExecutor) { e.draining = false })
			},
		},
		{
			"leaving in the VM list",
			func(cell *testCell, p *Partition) {
				cell.fleet[0].State = api.VMStateLeaving
				p.SetFleet(cell.fleet)
			},
			func(cell *testCell, p *Partition) {
				cell.fleet[0].State = api.VMStateLive
				p.SetFleet(cell.fleet)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t, 2)
				p := cell.startOwner()
				time.Sleep(time.Second)
				c.leave(cell, p)
				for i := range 20 {
					resp, err := p.Execute(t.Context(), request("gallery.quote", fmt.Sprint("a", i), ""))
					if err != nil || resp.Vm != "vm-1" {
						t.Fatalf("got %+v, %v", resp, err)
					}
				}
				c.back(cell, p)
				time.Sleep(time.Minute)
				seen := map[string]bool{}
				for i := range 20 {
					resp, err := p.Execute(t.Context(), request("gallery.quote", fmt.Sprint("b", i), ""))
					if err != nil {
						t.Fatal(err)
					}
					seen[resp.Vm] = true
				}
				if !seen["vm-0"] {
					t.Error("the executor that came back gets no work")
				}
			})
		})
	}
}
