// Package bench measures complete request and write paths through a cell of three nodes.
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
	nodeCount           = 3
	executorCount       = 36 // three executor partitions
	slotsPerExecutor    = 8
	processorsPerNode   = 1    // so that a node reaches its limit before the machine does
	requestRate         = 1000 // requests a second
	cpuSampleRate       = 3000 // requests a second at which their processor time is measured
	warmUp              = 2 * time.Second
	maxSustainedLatency = 50 * time.Millisecond // highest p99 latency of a sustained rate
	minAnsweredShare    = 0.99                  // of the requests sent at a sustained rate
	sustainTries        = 3
	serviceTime         = 60 * time.Millisecond // of requests in the overload
	overloadDeadline    = 2 * time.Second       // deadline of requests in the overload
)

var (
	loadDuration  = flag.Duration("path-time", 5*time.Second, "time for which requests are sent at each rate")
	sustainedFrom = flag.Float64("held-from", requestRate, "initial rate of the search for the highest sustained rate")
	inProcess     = flag.Bool("inside", false, "run the nodes in the benchmark process, for profiling")
	requestBody   = []byte(`{"delay_ms":0,"answer_bytes":200}`)
)

func startCell(b *testing.B, processors int, execute func(*api.ExecutorCall) standin.ExecutionResult) (*measure.Cell, *measure.Caller) {
	b.Helper()
	o := measure.Options{
		Shape: measure.Shape{Workers: executorCount, Slots: slotsPerExecutor, Teams: 1}, Nodes: nodeCount, Execute: execute, Processors: processors,
	}
	if !*inProcess {
		program, remove, err := measure.BuildProgram(b.Context())
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

// BenchmarkRequestPath measures, with requests at a constant rate in an open loop, the
// latency that the path through a node and an owner adds to a direct call of an executor,
// the highest sustained rate ("held"), and the goodput in an overload.
func BenchmarkRequestPath(b *testing.B) {
	b.Run("latency", func(b *testing.B) {
		cell, caller := startCell(b, 0, nil)
		direct := directCall(b, cell)
		through := func(ctx context.Context, n int) error { return caller.Send(ctx, n, requestBody, time.Time{}) }
		sendLoad(b, requestRate, warmUp, through)
		b.ResetTimer()
		for range b.N {
			// Both run at the same time, so that disturbances of the machine affect both.
			var base, path measure.LoadOutcome
			var both sync.WaitGroup
			both.Go(func() { base = sendLoad(b, requestRate, *loadDuration, direct) })
			time.Sleep(time.Second / requestRate / 2)
			path = sendLoad(b, requestRate, *loadDuration, through)
			both.Wait()
			for _, q := range []float64{50, 99} {
				b.ReportMetric(milliseconds(path.Quantile(q)-base.Quantile(q)), fmt.Sprintf("added-p%.0f-ms", q))
				b.ReportMetric(milliseconds(base.Quantile(q)), fmt.Sprintf("direct-p%.0f-ms", q))
			}
			b.ReportMetric(float64(path.Sent-path.Succeeded), "failed")
		}
		b.ReportMetric(0, "ns/op")
	})
	b.Run("held", func(b *testing.B) {
		cell, caller := startCell(b, processorsPerNode, nil)
		through := func(ctx context.Context, n int) error { return caller.Send(ctx, n, requestBody, time.Time{}) }
		sendLoad(b, requestRate, warmUp, through)
		for range b.N {
			sustained := highestSustainedRate(b, through)
			b.ReportMetric(sustained, "held/s")
			b.ReportMetric(cpuPerRequest(b, cell, through), "node-cpu-us/request")
			goodputAtTwice := sendLoadWithMaxLatency(b, 2*sustained, *loadDuration, overloadDeadline, through).Goodput()
			b.ReportMetric(100*goodputAtTwice/sustained, "%-of-held-at-twice")
		}
		b.ReportMetric(0, "ns/op")
	})
	b.Run("overload", benchmarkOverload)
}

// cpuPerRequest returns the processor time of all nodes for one request, in microseconds.
// Other load on the machine hardly affects it.
func cpuPerRequest(b *testing.B, cell *measure.Cell, call func(context.Context, int) error) float64 {
	b.Helper()
	if *inProcess {
		return 0
	}
	s, err := cell.Sample(b.Context(), 0, func(context.Context) error {
		return sendLoad(b, cpuSampleRate, *loadDuration, call).FirstErr
	})
	if err != nil {
		b.Fatal(err)
	}
	return nodeCount * s.Mean(nil).CPU / 100 / cpuSampleRate * 1e6
}

// benchmarkOverload compares the goodput at twice the rate that the executors can serve
// with the highest goodput up to that rate. The nodes can forward more than the executors
// can serve, so that the executors limit the goodput.
func benchmarkOverload(b *testing.B) {
	_, caller := startCell(b, processorsPerNode, func(*api.ExecutorCall) standin.ExecutionResult {
		return standin.ExecutionResult{Delay: serviceTime, Status: 200, Body: []byte("done")}
	})
	through := func(ctx context.Context, n int) error {
		return caller.Send(ctx, n, requestBody, time.Now().Add(overloadDeadline))
	}
	sendLoad(b, requestRate, warmUp, through)
	for range b.N {
		peak := 0.0
		capacity := executorCount * slotsPerExecutor / serviceTime.Seconds()
		for _, part := range []float64{0.7, 0.8, 0.9, 1} {
			peak = max(peak, sendLoadWithMaxLatency(b, part*capacity, *loadDuration, overloadDeadline, through).Goodput())
		}
		twice := sendLoadWithMaxLatency(b, 2*capacity, *loadDuration, overloadDeadline, through).Goodput()
		b.ReportMetric(peak, "peak/s")
		b.ReportMetric(twice, "goodput-at-twice/s")
		b.ReportMetric(100*twice/peak, "%-of-peak")
	}
	b.ReportMetric(0, "ns/op")
}

// highestSustainedRate raises the rate by a fifth until no try sustains it. It takes
// several tries, so that a pause of the machine does not count as the limit of the program.
func highestSustainedRate(b *testing.B, call func(context.Context, int) error) float64 {
	sustained := 0.0
	for rate := *sustainedFrom; isSustained(b, rate, call); rate *= 1.2 {
		sustained = rate
	}
	return sustained
}

func isSustained(b *testing.B, rate float64, call func(context.Context, int) error) bool {
	for range sustainTries {
		o := sendLoad(b, rate, *loadDuration, call)
		b.Logf("%6.0f/s: %d of %d, p50 %s, p99 %s, %v", rate, o.Succeeded, o.Sent, o.Quantile(50), o.Quantile(99), o.FirstErr)
		if float64(o.Succeeded) >= minAnsweredShare*float64(o.Sent) && o.Quantile(99) <= maxSustainedLatency {
			return true
		}
	}
	return false
}

func sendLoad(b *testing.B, rate float64, d time.Duration, call func(context.Context, int) error) measure.LoadOutcome {
	return sendLoadWithMaxLatency(b, rate, d, time.Minute, call)
}

// sendLoadWithMaxLatency sends requests at a constant rate. Those that take longer than
// maxLatency do not count as succeeded.
func sendLoadWithMaxLatency(b *testing.B, rate float64, d, maxLatency time.Duration, call func(context.Context, int) error) measure.LoadOutcome {
	b.Helper()
	return measure.RunOpenLoop(b.Context(), rate, d, maxLatency, call)
}

// directCall returns a function that calls the executors as their owners do.
func directCall(b *testing.B, cell *measure.Cell) func(context.Context, int) error {
	b.Helper()
	executors := platform.NewExecutorClient(platform.UpstreamOptions{})
	b.Cleanup(executors.CloseIdleConnections)
	vms := cell.Standins.VMs.Listing().Vms
	leases := make([]api.PartitionLease, len(vms))
	for i, vm := range vms {
		var err error
		if leases[i], err = cell.PartitionLease(b.Context(), config.ExecutorPartitionOfVM(cell.Config, vm)); err != nil {
			b.Fatal(err)
		}
	}
	var sent atomic.Int64
	return func(ctx context.Context, n int) error {
		vm, lease := vms[n%len(vms)], leases[n%len(vms)]
		_, err := executors.Execute(ctx, vm, &api.ExecutorCall{
			Partition: lease.Partition, Epoch: lease.Epoch, Team: measure.Team(0), Queue: measure.Queue(measure.Team(0), measure.RequestQueue),
			RequestId: fmt.Sprintf("direct-%d", sent.Add(1)), Body: requestBody,
		})
		return err
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
