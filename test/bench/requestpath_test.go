// Package bench measures whole paths through a cell of three nodes.
package bench

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/measure"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

const (
	nodes       = 3
	executors   = 36 // three executor partitions
	slots       = 8
	processors  = 1    // of each node, so that it reaches its limit before the machine does
	pathRate    = 1000 // requests a second
	costRate    = 3000 // requests a second at which their cost is taken
	warmUp      = 2 * time.Second
	heldLatency = 50 * time.Millisecond // p99 up to which a rate is held
	heldShare   = 0.99                  // of the requests offered
	heldTries   = 3
	serviceTime = 60 * time.Millisecond // of requests in the overload
	patience    = 2 * time.Second       // deadline of requests in the overload
)

var (
	pathTime = flag.Duration("path-time", 5*time.Second, "time for which each rate is offered")
	heldFrom = flag.Float64("held-from", pathRate, "rate at which the search for the highest rate begins")
	inside   = flag.Bool("inside", false, "run the nodes inside this process, for a profile")
	bodyText = []byte(`{"delay_ms":0,"answer_bytes":200}`)
)

func startCell(b *testing.B, processors int, work func(*api.ExecutorCall) standin.Work) (*measure.Cell, *measure.Caller) {
	b.Helper()
	o := measure.Options{
		Shape: measure.Shape{Workers: executors, Slots: slots, Teams: 1}, Nodes: nodes, Work: work, Processors: processors,
	}
	if !*inside {
		program, remove, err := measure.Build(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(remove)
		o.Program = program
	}
	cell, err := measure.Start(b.Context(), o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cell.Close)
	caller, err := cell.NewCaller(b.Context(), measure.Team(0), measure.RequestQueue)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(caller.Close)
	return cell, caller
}

// BenchmarkRequestPath measures what the way through a node and an owner adds to
// a direct call of an executor, at an even rate in an open loop.
func BenchmarkRequestPath(b *testing.B) {
	b.Run("latency", func(b *testing.B) {
		cell, caller := startCell(b, 0, nil)
		direct := directCall(b, cell)
		through := func(ctx context.Context, n int) error { return caller.Send(ctx, n, bodyText, time.Time{}) }
		offer(b, pathRate, warmUp, through)
		b.ResetTimer()
		for range b.N {
			// At the same time, so that what disturbs the machine disturbs both.
			var base, path measure.Outcome
			var both sync.WaitGroup
			both.Go(func() { base = offer(b, pathRate, *pathTime, direct) })
			time.Sleep(time.Second / pathRate / 2)
			path = offer(b, pathRate, *pathTime, through)
			both.Wait()
			for _, q := range []float64{50, 99} {
				b.ReportMetric(milliseconds(path.Quantile(q)-base.Quantile(q)), fmt.Sprintf("added-p%.0f-ms", q))
				b.ReportMetric(milliseconds(base.Quantile(q)), fmt.Sprintf("direct-p%.0f-ms", q))
			}
			b.ReportMetric(float64(path.Offered-path.Good), "failed")
		}
		b.ReportMetric(0, "ns/op")
	})
	b.Run("held", func(b *testing.B) {
		cell, caller := startCell(b, processors, nil)
		through := func(ctx context.Context, n int) error { return caller.Send(ctx, n, bodyText, time.Time{}) }
		offer(b, pathRate, warmUp, through)
		for range b.N {
			held := highestHeld(b, through)
			b.ReportMetric(held, "held/s")
			b.ReportMetric(costOfRequest(b, cell, through), "node-cpu-us/request")
			twice := offerFor(b, 2*held, *pathTime, patience, through).Goodput()
			b.ReportMetric(100*twice/held, "%-of-held-at-twice")
		}
		b.ReportMetric(0, "ns/op")
	})
	b.Run("overload", overload)
}

// costOfRequest returns the processor time of all nodes for one request in
// microseconds, which other work on the machine hardly disturbs.
func costOfRequest(b *testing.B, cell *measure.Cell, call func(context.Context, int) error) float64 {
	b.Helper()
	if *inside {
		return 0
	}
	s, err := cell.Sample(b.Context(), 0, func(context.Context) error {
		return offer(b, costRate, *pathTime, call).FirstErr
	})
	if err != nil {
		b.Fatal(err)
	}
	return nodes * s.Mean(nil).CPU / 100 / costRate * 1e6
}

// overload offers twice what the executors can do, which is less than the nodes
// can pass on.
func overload(b *testing.B) {
	_, caller := startCell(b, processors, func(*api.ExecutorCall) standin.Work {
		return standin.Work{Delay: serviceTime, Status: 200, Body: []byte("done")}
	})
	through := func(ctx context.Context, n int) error {
		return caller.Send(ctx, n, bodyText, time.Now().Add(patience))
	}
	offer(b, pathRate, warmUp, through)
	for range b.N {
		peak := 0.0
		capacity := executors * slots / serviceTime.Seconds()
		for _, part := range []float64{0.7, 0.8, 0.9, 1} {
			peak = max(peak, offerFor(b, part*capacity, *pathTime, patience, through).Goodput())
		}
		twice := offerFor(b, 2*capacity, *pathTime, patience, through).Goodput()
		b.ReportMetric(peak, "peak/s")
		b.ReportMetric(twice, "goodput-at-twice/s")
		b.ReportMetric(100*twice/peak, "%-of-peak")
	}
	b.ReportMetric(0, "ns/op")
}

// highestHeld raises the rate by a fifth until it is not held in any of several
// tries: a pause of the machine must not count as the limit of the program.
func highestHeld(b *testing.B, call func(context.Context, int) error) float64 {
	held := 0.0
	for rate := *heldFrom; isHeld(b, rate, call); rate *= 1.2 {
		held = rate
	}
	return held
}

func isHeld(b *testing.B, rate float64, call func(context.Context, int) error) bool {
	for range heldTries {
		o := offer(b, rate, *pathTime, call)
		b.Logf("%6.0f/s: %d of %d, p50 %s, p99 %s, %v", rate, o.Good, o.Offered, o.Quantile(50), o.Quantile(99), o.FirstErr)
		if float64(o.Good) >= heldShare*float64(o.Offered) && o.Quantile(99) <= heldLatency {
			return true
		}
	}
	return false
}

func offer(b *testing.B, rate float64, d time.Duration, call func(context.Context, int) error) measure.Outcome {
	return offerFor(b, rate, d, time.Minute, call)
}

func offerFor(b *testing.B, rate float64, d, allowed time.Duration, call func(context.Context, int) error) measure.Outcome {
	b.Helper()
	return measure.Offer(b.Context(), rate, d, allowed, call)
}

// directCall returns calls of the executors as their owners make them.
func directCall(b *testing.B, cell *measure.Cell) func(context.Context, int) error {
	b.Helper()
	executors := platform.NewExecutorClient(platform.UpstreamOptions{})
	b.Cleanup(executors.CloseIdleConnections)
	vms := cell.Standins.VMs.Listing().Vms
	leases := make([]api.PartitionLease, len(vms))
	for i, vm := range vms {
		var err error
		if leases[i], err = cell.Lease(b.Context(), config.ExecutorPartition(cell.Config, vm)); err != nil {
			b.Fatal(err)
		}
	}
	var sent atomic.Int64
	return func(ctx context.Context, n int) error {
		vm, lease := vms[n%len(vms)], leases[n%len(vms)]
		_, err := executors.Execute(ctx, vm, &api.ExecutorCall{
			Partition: lease.Partition, Epoch: lease.Epoch, Team: measure.Team(0), Queue: measure.Queue(measure.Team(0), measure.RequestQueue),
			RequestId: fmt.Sprintf("direct-%d", sent.Add(1)), Body: bodyText,
		})
		return err
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
