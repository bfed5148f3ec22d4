package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/recorded"
)

const (
	callerAttempts  = 6                      // calls per request or submission, retries included
	callerRetryWait = 150 * time.Millisecond // before the first retry; doubled for each later one
	submitTimeout   = 10 * time.Second       // for one job submission, retries included
	maxRunFactor    = 3.0                    // longest run time relative to the median; its inverse is the shortest
	runSigma        = 0.4                    // standard deviation of run times relative to the median
)

// teamCaller sends the requests and jobs of one team.
type teamCaller struct {
	clients []recorded.Caller // one for each node; each calls its own node first
	stats   *stats
}

// generator generates the load of one queue.
type generator struct {
	caller   *teamCaller
	queue    api.Queue
	workload api.QueueWorkload
	random   *rand.Rand
}

// run sends work at random times until ctx ends, then waits for the answers.
func (g *generator) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	mean := time.Minute / time.Duration(g.workload.ArrivalsPerMinute)
	for n := 0; ; n++ {
		wait := time.Duration(g.random.ExpFloat64() * float64(mean))
		if n == 0 {
			wait = min(wait, time.Second) // so that every queue gets work in a short run
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
		run := g.runTime()
		firstNode := g.random.IntN(len(g.caller.clients))
		calls.Go(func() {
			if g.queue.Class == api.ClassRequest {
				g.sendRequest(firstNode, run)
			} else {
				g.submitJob(firstNode, n, run)
			}
		})
	}
}

func (g *generator) runTime() time.Duration {
	factor := min(g.random.NormFloat64()*runSigma, maxRunFactor-1) + 1
	factor = max(factor, 1/maxRunFactor)
	return time.Duration(factor * float64(g.workload.RunMs) * float64(time.Millisecond))
}

// sendRequest sends one short request. If mayRetry allows it, it retries with the same
// ID through another node.
func (g *generator) sendRequest(firstNode int, run time.Duration) {
	id, err := uuid.NewV7()
	if err != nil {
		return // the operating system returned no random data; nothing was sent
	}
	body := g.body(id.String(), run)
	deadline := time.Now().Add(time.Duration(g.queue.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(time.Second))
	defer cancel()
	began := time.Now()
	for try := range callerAttempts {
		c := g.caller.clients[(firstNode+try)%len(g.caller.clients)]
		answer, err := c.Send(ctx, g.queue.Team, client.Request{Queue: g.queue.Name, ID: id.String(), ContentType: "application/json", Body: body, Deadline: deadline})
		if err == nil {
			onTime := !time.Now().After(deadline)
			g.caller.stats.requestDone(g.queue.Name, time.Since(began)-run, onTime && answer.Status < 400)
			return
		}
		if !g.mayRetry(err) || !clock.Sleep(ctx, callerRetryWait<<try) {
			g.caller.stats.countFailure(g.queue.Name, errkind.From(err).Kind)
			return
		}
	}
	g.caller.stats.countFailure(g.queue.Name, errkind.Overloaded)
}

// mayRetry reports whether a request may be sent again after an error. If it did not
// run, the kind of the error decides. If it ran or may have run, the queue must be
// idempotent.
func (g *generator) mayRetry(err error) bool {
	e := errkind.From(err)
	answer := errkind.ResponseOf(e.Kind)
	if answer.Outcome == errkind.NotRun {
		return answer.Retryable
	}
	return g.queue.Idempotent
}

// body returns a body that sets the run time and the answer size of the stand-in
// executor. The ID makes each body, and so each answer, unique.
func (g *generator) body(id string, run time.Duration) []byte {
	request := struct {
		DelayMs     int64  `json:"delay_ms"`
		AnswerBytes int    `json:"answer_bytes"`
		ID          string `json:"id"`
		Padding     string `json:"padding"`
	}{run.Milliseconds(), g.workload.AnswerBytes, id, ""}
	data, err := json.Marshal(request)
	if err != nil {
		return nil // cannot happen: a struct of numbers and strings always encodes
	}
	if missing := g.workload.BodyBytes - len(data); missing > 0 {
		request.Padding = fmt.Sprintf("%0*d", missing, 0)
		data, _ = json.Marshal(request)
	}
	return data
}

// submitJob submits one job. A submission is idempotent, so it is also retried if
// its outcome is unknown.
func (g *generator) submitJob(firstNode, n int, run time.Duration) {
	submission := g.submission(n, run)
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	for try := range callerAttempts {
		c := g.caller.clients[(firstNode+try)%len(g.caller.clients)]
		_, err := c.SubmitJob(ctx, g.queue.Team, submission)
		if err == nil {
			g.caller.stats.jobAccepted(g.queue.Name, submission.Id)
			return
		}
		e := errkind.From(err)
		retry := errkind.ResponseOf(e.Kind).Retryable || e.Outcome() == errkind.Unknown
		if !retry || !clock.Sleep(ctx, callerRetryWait<<try) {
			g.caller.stats.countFailure(g.queue.Name, e.Kind)
			return
		}
	}
	g.caller.stats.countFailure(g.queue.Name, errkind.Overloaded)
}

func (g *generator) submission(n int, run time.Duration) api.JobSubmission {
	size := api.Resources{}
	if g.workload.Resources != nil {
		size = *g.workload.Resources
	}
	payload, err := json.Marshal(struct {
		RunMs     int64 `json:"run_ms"`
		CPUMillis int   `json:"cpu_millis"`
		MemoryMB  int   `json:"memory_mb"`
	}{run.Milliseconds(), size.CpuMillis * 8 / 10, size.MemoryMb * 8 / 10})
	if err != nil {
		payload = nil // cannot happen: a struct of numbers always encodes
	}
	return api.JobSubmission{
		Id:             fmt.Sprintf("%s-%d", g.queue.Name, n),
		Queue:          g.queue.Name,
		Tasks:          max(g.workload.Tasks, 1),
		Resources:      size,
		EstimatedRunMs: g.workload.DeclaredRunMs,
		Payload:        string(payload),
		Checkpointable: g.workload.Checkpointable,
	}
}
