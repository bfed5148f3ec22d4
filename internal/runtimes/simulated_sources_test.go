package runtimes

import (
	"fmt"
	"testing"
	"time"
)

// simLoads are the loads that are compared, with an error of the estimates of up to half
// beside those of the teams.
var simLoads = []struct {
	name  string
	teams []simTeam
	gain  float64 // in the share done in time that the groups bring over the regression per queue, at least
}{
	{"estimates off by up to half", []simTeam{{"a", 1, 1}, {"b", 1, 1}, {"c", 1, 1}, {"d", 1, 1}}, -0.01},
	{"teams estimate half or twice", []simTeam{{"a", 1, 0.5}, {"b", 1, 2}, {"c", 1, 1}, {"d", 1, 1.5}}, 0},
	{"teams run different programs", []simTeam{{"a", 0.5, 1.5}, {"b", 2, 0.5}, {"c", 1, 1}, {"d", 0.7, 2}}, 0.02},
}

// predictor is what is compared: the source of the run times.
type predictor interface {
	predict(now time.Duration, s *simStep)
	remaining(now time.Duration, r *simRun) time.Duration
	addRun(now time.Duration, s *simStep, actual time.Duration)
	addStep(now time.Duration, s *simStep)
}

// usualRemaining is the rule for a run that exceeds its predicted time without a
// distribution: another half of it.
func usualRemaining(now time.Duration, r *simRun) time.Duration {
	elapsed := now - r.start
	if elapsed > r.step.taskTime {
		return r.step.taskTime / 2
	}
	return r.step.taskTime - elapsed
}

type byEstimate struct{}

func (byEstimate) predict(_ time.Duration, s *simStep) {
	s.taskTime, s.path = s.estimate, s.estimate
	s.minPath = s.path / 2
}

func (byEstimate) remaining(now time.Duration, r *simRun) time.Duration {
	return usualRemaining(now, r)
}
func (byEstimate) addRun(time.Duration, *simStep, time.Duration) {}
func (byEstimate) addStep(time.Duration, *simStep)               {}

type byQueue struct{ runs, steps map[string]*logRegression }

func newByQueue() predictor {
	p := byQueue{map[string]*logRegression{}, map[string]*logRegression{}}
	for _, q := range simQueues {
		p.runs[q.name], p.steps[q.name] = &logRegression{}, &logRegression{}
	}
	return p
}

func (p byQueue) predict(_ time.Duration, s *simStep) {
	s.taskTime = durationOf(p.runs[s.key.Queue].predict(milliseconds(s.estimate)))
	s.path = durationOf(p.steps[s.key.Queue].predict(milliseconds(s.estimate)))
	s.minPath = time.Duration((1 - min(0.5, p.steps[s.key.Queue].spread())) * float64(s.path))
}

func (p byQueue) remaining(now time.Duration, r *simRun) time.Duration {
	return usualRemaining(now, r)
}

func (p byQueue) addRun(_ time.Duration, s *simStep, actual time.Duration) {
	p.runs[s.key.Queue].add(milliseconds(s.estimate), milliseconds(actual))
}

func (p byQueue) addStep(_ time.Duration, s *simStep) {
	p.steps[s.key.Queue].add(milliseconds(s.estimate), milliseconds(s.longest))
}

type byGroups struct{ m *Model }

func (p byGroups) predict(now time.Duration, s *simStep) {
	s.task = p.m.Task(now, s.key, s.estimate)
	s.taskTime = s.task.Time()
	longest := p.m.Longest(now, s.key, s.estimate, s.queue.tasks)
	s.path = longest.Time()
	s.minPath = time.Duration((1 - min(0.5, longest.Spread())) * float64(s.path))
}

func (p byGroups) remaining(now time.Duration, r *simRun) time.Duration {
	return r.step.task.Remaining(now - r.start)
}

func (p byGroups) addRun(now time.Duration, s *simStep, actual time.Duration) {
	p.m.AddRun(now, s.key, s.estimate, actual)
}

func (p byGroups) addStep(now time.Duration, s *simStep) {
	p.m.AddStep(now, s.key, s.estimate, s.longest, s.queue.tasks)
}

// Guards against groups that serve callers worse than the regression per queue or the
// estimates alone: more steps are done in time, and run times are predicted better.
func TestSimulatedLoadIsServedBetterWithGroups(t *testing.T) {
	const seeds = 12
	for _, load := range simLoads {
		t.Run(load.name, func(t *testing.T) {
			sources := []struct {
				name string
				make func() predictor
			}{
				{"estimate", func() predictor { return byEstimate{} }},
				{"queue", newByQueue},
				{"groups", func() predictor { return byGroups{New()} }},
			}
			inTime, logError := map[string]float64{}, map[string]float64{}
			for seed := range uint64(seeds) {
				arrivals := simArrivals(seed, load.teams)
				line := ""
				for _, source := range sources {
					share, e := simulate(arrivals, source.make())
					inTime[source.name] += share / seeds
					logError[source.name] += e / seeds
					line += fmt.Sprintf(" %s %.3f", source.name, share)
				}
				t.Logf("seed %d, in time:%s", seed, line)
			}
			for _, source := range sources {
				t.Logf("%s: %.3f in time, mean error of run times %.3f", source.name, inTime[source.name], logError[source.name])
			}
			if inTime["groups"] < inTime["queue"]+load.gain || inTime["groups"] < inTime["estimate"] {
				t.Errorf("in time: %v", inTime)
			}
			if logError["groups"] > 1.01*logError["queue"] || logError["groups"] > logError["estimate"] {
				t.Errorf("mean errors: %v", logError)
			}
		})
	}
}
