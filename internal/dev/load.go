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
	callerAttempts  = 6                      // tries of one request or submission by a caller
	callerRetryWait = 150 * time.Millisecond // before the first retry; doubled for each further one
	submitTimeout   = 10 * time.Second       // for one job submission with its retries
	maxRunFactor    = 3.0                    // longest true run time relative to the median
	runSpread       = 0.4                    // standard deviation of the logarithm of run times
)

// caller is what offers work for one team.
type caller struct {
	calls []recorded.Caller // one for each node that it may meet first
	stats *stats
}

// generator offers the load of one queue.
type generator struct {
	caller *caller
	queue  api.Queue
	load   api.QueueWorkload
	rand   *rand.Rand
}

// run offers work at random times until ctx ends and waits for the answers.
func (g *generator) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	mean := time.Minute / time.Duration(g.load.ArrivalsPerMinute)
	for n := 0; ; n++ {
		wait := time.Duration(g.rand.ExpFloat64() * float64(mean))
		if n == 0 {
			wait = min(wait, time.Second) // every queue gets some work in a short run
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
		run := g.runTime()
		first := g.rand.IntN(len(g.caller.calls))
		calls.Go(func() {
			if g.queue.Class == api.ClassRequest {
				g.request(first, run)
			} else {
				g.job(first, n, run)
			}
		})
	}
}

func (g *generator) runTime() time.Duration {
	factor := min(g.rand.NormFloat64()*runSpread, maxRunFactor-1) + 1
	factor = max(factor, 1/maxRunFactor)
	return time.Duration(factor * float64(g.load.RunMs) * float64(time.Millisecond))
}

// request sends one short request. Like a careful caller it retries, with the
// same ID and through another node, only what did not run or may be repeated.
func (g *generator) request(first int, run time.Duration) {
	id, err := uuid.NewV7()
	if err != nil {
		return // the system has no randomness; nothing was sent
	}
	body := g.body(id.String(), run)
	deadline := time.Now().Add(time.Duration(g.queue.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(time.Second))
	defer cancel()
	began := time.Now()
	for try := range callerAttempts {
		c := g.caller.calls[(first+try)%len(g.caller.calls)]
		answer, err := c.Send(ctx, g.queue.Team, client.Request{Queue: g.queue.Name, ID: id.String(), ContentType: "application/json", Body: body, Deadline: deadline})
		if err == nil {
			onTime := !time.Now().After(deadline)
			g.caller.stats.requestDone(g.queue.Name, time.Since(began)-run, onTime && answer.Status < 400)
			return
		}
		if !g.mayRetry(err) || !clock.Sleep(ctx, callerRetryWait<<try) {
			g.caller.stats.requestFailed(g.queue.Name, errkind.From(err).Kind)
			return
		}
	}
	g.caller.stats.requestFailed(g.queue.Name, errkind.Overloaded)
}

func (g *generator) mayRetry(err error) bool {
	e := errkind.From(err)
	answer := errkind.AnswerOf(e.Kind)
	if answer.Outcome == errkind.NotRun {
		return answer.Retryable
	}
	return g.queue.Idempotent
}

// body asks the stand-in executor for a run time and a size of the answer. The
// ID makes each body, and so each answer, unlike the others.
func (g *generator) body(id string, run time.Duration) []byte {
	request := struct {
		DelayMs     int64  `json:"delay_ms"`
		AnswerBytes int    `json:"answer_bytes"`
		ID          string `json:"id"`
		Padding     string `json:"padding"`
	}{run.Milliseconds(), g.load.AnswerBytes, id, ""}
	data, err := json.Marshal(request)
	if err != nil {
		return nil // a struct of numbers and strings can be encoded
	}
	if missing := g.load.BodyBytes - len(data); missing > 0 {
		request.Padding = fmt.Sprintf("%0*d", missing, 0)
		data, _ = json.Marshal(request)
	}
	return data
}

// job submits one job. A submission is idempotent, so it is retried until its
// outcome is known.
func (g *generator) job(first, n int, run time.Duration) {
	submission := g.submission(n, run)
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	for try := range callerAttempts {
		c := g.caller.calls[(first+try)%len(g.caller.calls)]
		_, err := c.SubmitJob(ctx, g.queue.Team, submission)
		if err == nil {
			g.caller.stats.jobAccepted(g.queue.Name, submission.Id)
			return
		}
		e := errkind.From(err)
		retry := errkind.AnswerOf(e.Kind).Retryable || e.Outcome() == errkind.Unknown
		if !retry || !clock.Sleep(ctx, callerRetryWait<<try) {
			g.caller.stats.requestFailed(g.queue.Name, e.Kind)
			return
		}
	}
	g.caller.stats.requestFailed(g.queue.Name, errkind.Overloaded)
}

func (g *generator) submission(n int, run time.Duration) api.JobSubmission {
	size := api.Resources{}
	if g.load.Resources != nil {
		size = *g.load.Resources
	}
	payload, err := json.Marshal(struct {
		RunMs     int64 `json:"run_ms"`
		CPUMillis int   `json:"cpu_millis"`
		MemoryMB  int   `json:"memory_mb"`
	}{run.Milliseconds(), size.CpuMillis * 8 / 10, size.MemoryMb * 8 / 10})
	if err != nil {
		payload = nil // a struct of numbers can be encoded
	}
	return api.JobSubmission{
		Id:             fmt.Sprintf("%s-%d", g.queue.Name, n),
		Queue:          g.queue.Name,
		Tasks:          max(g.load.Tasks, 1),
		Resources:      size,
		EstimatedRunMs: g.load.DeclaredRunMs,
		Payload:        string(payload),
		Checkpointable: g.load.Checkpointable,
	}
}
