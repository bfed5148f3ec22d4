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

// Guards against a "not run" that is false, a second delivery and a foreign or
// incomplete answer when the network fails at any point of a call.
func TestExecuteUnderNetworkFaults(t *testing.T) {
	const seed, callers, enough = 1, 8, 300
	t.Logf("seed %d", seed)
	recorder := history.New()
	recorder.Configuration(1, &api.Configuration{Queues: []api.Queue{{Name: "t.q", Team: "t", Open: true}}})
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
	var seen outcomes
	for caller := range callers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				seen.add(execute(recorder, client, proxy.Address(), fmt.Sprintf("r-%d-%d", caller, i)))
				time.Sleep(time.Millisecond) // refused connections must not outnumber all else
			}
		})
	}
	waitFor(t, func() bool { return seen.least() >= enough })
	cancel()
	wg.Wait()
	faults.Wait()
	for _, v := range checker.Check(recorder.Records(), checker.DefaultOptions()) {
		t.Error(v)
	}
}

// outcomes counts how calls ended.
type outcomes struct {
	mu     sync.Mutex
	counts map[history.Outcome]int
}

func (o *outcomes) add(outcome history.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[history.Outcome]int{}
	}
	o.counts[outcome]++
}

// least returns the count of the rarest outcome.
func (o *outcomes) least() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return min(o.counts[history.Answered], o.counts[history.NotRun], o.counts[history.Unknown])
}

// switchFaults changes the faults at random until ctx ends.
func switchFaults(ctx context.Context, t *testing.T, proxy *faultproxy.Proxy, e *standin.Executor, rng *rand.Rand) {
	all := []faultproxy.Faults{
		{}, {}, {}, {Cut: true}, {Refuse: true}, {DropRequests: true}, {DropAnswers: true},
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

// execute does one call as a caller would and records how it ended.
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
