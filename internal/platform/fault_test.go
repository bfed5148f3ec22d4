package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// When the network fails at any point of a call, a request that ran must not be reported
// as not run or be delivered twice, and a response that is incomplete or to another
// request must not reach the caller.
func TestExecuteUnderNetworkFaults(t *testing.T) {
	const seed, callers, minPerOutcome = 1, 8, 300
	t.Logf("seed %d", seed)
	recorder := history.NewRecorder()
	recorder.RecordConfiguration(1, &api.Configuration{Queues: []api.Queue{{Name: "t.q", Team: "t", Open: true}}})
	recorder.Add(history.Record{Kind: history.VMCapacity, VM: "vm-1", Resources: api.Resources{Slots: 1 << 20}})
	executor := standin.NewExecutor(standin.ExecutorOptions{VM: "vm-1", Recorder: recorder})
	proxy, err := faultproxy.New(serve(t, executor))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	client := platform.NewExecutorClient(platform.UpstreamOptions{})
	defer client.CloseIdleConnections()

	ctx, cancel := context.WithCancel(context.Background())
	var faults, wg sync.WaitGroup
	faults.Go(func() { switchFaults(ctx, t, proxy, executor, rand.New(rand.NewPCG(seed, 0))) })
	var counts outcomeCounts
	for caller := range callers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				counts.add(execute(recorder, client, proxy.Address(), fmt.Sprintf("r-%d-%d", caller, i)))
				time.Sleep(time.Millisecond) // so that refused connections do not dominate
			}
		})
	}
	waitFor(t, func() bool { return counts.minCount() >= minPerOutcome })
	cancel()
	wg.Wait()
	faults.Wait()
	for _, v := range checker.Check(recorder.Records(), checker.DefaultOptions()) {
		t.Error(v)
	}
}

// outcomeCounts counts calls by outcome.
type outcomeCounts struct {
	mu     sync.Mutex
	counts map[history.Outcome]int
}

func (o *outcomeCounts) add(outcome history.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[history.Outcome]int{}
	}
	o.counts[outcome]++
}

// minCount returns the count of the least frequent outcome.
func (o *outcomeCounts) minCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return min(o.counts[history.Answered], o.counts[history.NotRun], o.counts[history.Unknown])
}

// switchFaults changes the faults at random until ctx ends.
func switchFaults(ctx context.Context, t *testing.T, proxy *faultproxy.Proxy, e *standin.Executor, rng *rand.Rand) {
	all := []faultproxy.Faults{
		{}, {}, {}, {CloseOnData: true}, {Refuse: true}, {DropRequests: true}, {DropAnswers: true},
		{CutAnswerAfter: 150}, {Delay: 5 * time.Millisecond},
	}
	for ctx.Err() == nil {
		e.SetMode(standin.ExecutorMode{Draining: rng.IntN(8) == 0, CutAnswers: rng.IntN(8) == 0})
		if err := proxy.Set(all[rng.IntN(len(all))]); err != nil {
			t.Error(err)
			return
		}
		proxy.CutConnections()
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// execute sends one call and records its outcome.
func execute(r *history.Recorder, client *platform.ExecutorClient, address, id string) history.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	in := executorCall()
	in.Team, in.Queue, in.RequestId = "t", "t.q", id
	rec := history.Record{Kind: history.Call, Team: "t", Queue: "t.q", RequestID: id, Started: r.Now(), BodyDigest: history.Digest(in.Body)}
	out, err := client.Execute(ctx, executorVM(address), in)
	rec.Outcome = history.Answered
	if err != nil {
		rec.Outcome = history.Outcome(errkind.From(err).Outcome())
		rec.ErrorKind = string(errkind.From(err).Kind)
	} else {
		rec.AnswerDigest = history.AnswerDigest(out.Status, out.Body)
	}
	r.Add(rec)
	return rec.Outcome
}
