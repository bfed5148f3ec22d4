package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// passTimeout is far above the duration of a pass over the few VMs of the
// tests.
const passTimeout = 20 * time.Second

// schedulePass runs one pass and fails the test if the pass does not return.
func schedulePass(t *testing.T, s *State, now time.Time) []Decision {
	t.Helper()
	done := make(chan []Decision, 1)
	go func() { done <- s.Schedule(now, 1000) }()
	select {
	case out := <-done:
		return out
	case <-time.After(passTimeout):
		t.Fatalf("the pass at %v did not return", now.Sub(testStart))
		return nil
	}
}

// TestClaimedGangsPassEnds guards against an endless pass, in which gangs with
// claims on the same VMs requeue each other whenever one is placed on trial.
func TestClaimedGangsPassEnds(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			s := newState(3, "a", "b", "d")
			now := testStart
			ends := map[Decision]time.Time{}
			for step := range 400 {
				now = now.Add(time.Second)
				if step%10 == 0 && step < 300 {
					team := []string{"a", "b", "d"}[rng.IntN(3)]
					class, tasks, cores := api.ClassGang, 2+rng.IntN(2), 6+rng.IntN(10)
					if rng.IntN(3) == 0 {
						class, tasks, cores = api.ClassBatch, 4, 2+rng.IntN(4)
					}
					mustSubmit(t, s, testJob(team, fmt.Sprint("job-", step), class, tasks, cores), now)
				}
				for d, end := range ends {
					if now.After(end) {
						delete(ends, d)
						s.TaskExited(d.Task, d.Attempt, OutcomeSuccess, now)
					}
				}
				for _, d := range schedulePass(t, s, now) {
					switch d.Kind {
					case DecisionPlace:
						s.TaskStarted(d.Task, d.Attempt, now)
						ends[d] = now.Add(time.Duration(5+rng.IntN(40)) * time.Second)
					case DecisionStop, DecisionCheckpoint:
						s.TaskExited(d.Task, d.Attempt, OutcomeStopped, now)
					}
				}
			}
		})
	}
}
