package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const second = time.Second

// testNow is a time since boot from which the tests count.
const testNow = time.Hour

func within20Percent(got, want time.Duration) bool {
	return got > want*8/10 && got < want*12/10
}

// spreadRun returns a run time around a typical one, spread by the factor.
func spreadRun(r *rand.Rand, typical time.Duration, spread float64) time.Duration {
	return time.Duration(float64(typical) * math.Exp(spread*r.NormFloat64()))
}

func addRuns(m *Model, n int, key Key, estimate, actual time.Duration) {
	for range n {
		m.AddRun(testNow, key, estimate, actual)
	}
}

// Guards against a model that changes the estimate before anything has finished.
func TestWithoutSamplesPredictsTheEstimate(t *testing.T) {
	m, key := New(), Key{"render", "encoder", "films"}
	p := m.Task(testNow, key, 3*second)
	if p.Time() != 3*second || p.Spread() != defaultSpread {
		t.Errorf("task: %v, spread %v", p.Time(), p.Spread())
	}
	if p := m.Longest(testNow, key, 3*second, 28); p.Time() != 3*second {
		t.Errorf("longest of 28: %v", p.Time())
	}
}

// Guards against predictions and samples for estimates that are too short to be modeled.
func TestShortEstimatesAreTakenAsTheyAre(t *testing.T) {
	m, key := New(), Key{Queue: "render"}
	addRuns(m, 20, key, MinModeled-1, second)
	if m.Groups() != 0 || m.Samples() != 0 {
		t.Errorf("%d groups, %d samples", m.Groups(), m.Samples())
	}
	addRuns(m, 20, key, second, 3*second)
	for _, estimate := range []time.Duration{-second, 0, time.Millisecond, MinModeled - 1} {
		if p := m.Task(testNow, key, estimate); p.Time() != max(0, estimate) {
			t.Errorf("estimate %v: predicted %v", estimate, p.Time())
		}
	}
}

// Guards against a change of the regression of a queue or an image alone, whose predictions
// the order of steps has relied on before the groups.
func TestQueueOrImageAloneFollowsTheRegression(t *testing.T) {
	for _, key := range []Key{{Queue: "render"}, {Image: "encoder"}} {
		m, reference := New(), logRegression{}
		r := rand.New(rand.NewPCG(1, 2))
		for i := range 200 {
			estimate := time.Duration(100+r.IntN(9000)) * time.Millisecond
			want := reference.predict(milliseconds(estimate))
			p := m.Task(testNow, key, estimate)
			if math.Abs(milliseconds(p.Time())-want) > 1e-6*want || math.Abs(p.Spread()-reference.spread()) > 1e-6 {
				t.Fatalf("%v, sample %d: got %v, spread %v; want %v ms, spread %v", key, i, p.Time(), p.Spread(), want, reference.spread())
			}
			actual := spreadRun(r, 2*estimate, 0.5).Truncate(time.Millisecond)
			m.AddRun(testNow, key, estimate, actual)
			reference.add(milliseconds(estimate), milliseconds(actual))
		}
	}
}

// Guards against a step model that no longer learns from done steps, and against one that
// takes the longest of few tasks for the longest of many.
func TestLongestTaskIsLearnedFromSteps(t *testing.T) {
	m, key := New(), Key{"render", "", "films"}
	r := rand.New(rand.NewPCG(3, 4))
	longestOf := func(tasks int) time.Duration {
		longest := time.Duration(0)
		for range tasks {
			longest = max(longest, spreadRun(r, 2*second, 0.5))
		}
		return longest
	}
	sums, count := map[int]float64{}, 400
	for range count {
		for _, tasks := range []int{3, 30} {
			actual := longestOf(tasks)
			sums[tasks] += math.Log(milliseconds(actual))
			m.AddStep(testNow, key, 3*second, actual, tasks)
		}
	}
	for tasks, sum := range sums {
		want := durationOf(math.Exp(sum / float64(count)))
		p := m.Longest(testNow, key, 3*second, tasks)
		if !within20Percent(p.Time(), want) {
			t.Errorf("longest of %d: predicted %v, want about %v", tasks, p.Time(), want)
		}
	}
	if p := m.Task(testNow, key, 3*second); p.Time() != 3*second {
		t.Errorf("steps changed the prediction of tasks to %v", p.Time())
	}
}

// Guards against estimates that stay wrong for long: after ten runs, an error of half or of
// two times is corrected.
func TestWrongEstimatesAreCorrectedWithinTenRuns(t *testing.T) {
	for _, key := range []Key{{Queue: "render"}, {"render", "", "films"}, {"render", "encoder", "films"}} {
		for _, factor := range []float64{0.5, 2} {
			m := New()
			actual := time.Duration(factor * float64(2*second))
			addRuns(m, 10, key, 2*second, actual)
			if p := m.Task(testNow, key, 2*second); !within20Percent(p.Time(), actual) {
				t.Errorf("%v, factor %v: predicted %v, want about %v", key, factor, p.Time(), actual)
			}
		}
	}
}

// Guards against one prediction for teams that run different programs on one queue, also
// if their estimates are the same.
func TestTeamsAreToldApart(t *testing.T) {
	m := New()
	r := rand.New(rand.NewPCG(5, 6))
	actual := map[string]time.Duration{"films": second, "games": 3 * second, "maps": 6 * second}
	for range 40 {
		for _, team := range []string{"films", "games", "maps"} {
			m.AddRun(testNow, Key{"render", "", team}, 3*second, spreadRun(r, actual[team], 0.1))
		}
	}
	for team, want := range actual {
		p := m.Task(testNow, Key{"render", "", team}, 3*second)
		if !within20Percent(p.Time(), want) {
			t.Errorf("%s: predicted %v, want about %v", team, p.Time(), want)
		}
	}
	if p := m.Task(testNow, Key{"render", "", "new"}, 3*second); p.Time() < second || p.Time() > 6*second {
		t.Errorf("a team without samples is not predicted from the queue: %v", p.Time())
	}
}

// Guards against estimates that are of use within each team, but are thrown away because
// the teams estimate differently.
func TestSlopeIsLearnedWithinTeams(t *testing.T) {
	m := New()
	for i := range 200 {
		// One team estimates a quarter of its run times, the other four times as much.
		actual := second * time.Duration(1+i%4)
		m.AddRun(testNow, Key{"render", "", "low"}, actual/4, actual)
		m.AddRun(testNow, Key{"render", "", "high"}, actual*4, actual)
	}
	for _, actual := range []time.Duration{second, 4 * second} {
		low := m.Task(testNow, Key{"render", "", "low"}, actual/4)
		high := m.Task(testNow, Key{"render", "", "high"}, actual*4)
		if !within20Percent(low.Time(), actual) || !within20Percent(high.Time(), actual) {
			t.Errorf("run time %v: predicted %v and %v", actual, low.Time(), high.Time())
		}
	}
}

// Guards against a program that is predicted from its former run times for long, while it
// runs all the time and after a pause of some minutes.
func TestChangedProgramIsLearnedAgain(t *testing.T) {
	key := Key{"render", "encoder", "films"}
	for _, tc := range []struct {
		pause time.Duration
		runs  int
	}{{0, 100}, {20 * time.Minute, 15}} {
		m := New()
		addRuns(m, 200, key, 2*second, 2*second)
		for range tc.runs {
			m.AddRun(testNow+tc.pause, key, 2*second, 6*second)
		}
		if p := m.Task(testNow+tc.pause, key, 2*second); !within20Percent(p.Time(), 6*second) {
			t.Errorf("%d runs after a pause of %v: predicted %v", tc.runs, tc.pause, p.Time())
		}
	}
}

// Guards against a pause that makes the model forget what it knows and trust a wrong
// estimate again.
func TestPauseDoesNotBringBackWrongEstimates(t *testing.T) {
	m, key := New(), Key{"render", "", "films"}
	addRuns(m, 50, key, 2*second, 6*second)
	if p := m.Task(testNow+12*time.Hour, key, 2*second); !within20Percent(p.Time(), 6*second) {
		t.Errorf("after half a day: predicted %v", p.Time())
	}
}

// Guards against a team whose many samples change the predictions of the others.
func TestFloodOfOneTeamLeavesTheOthers(t *testing.T) {
	m := New()
	films, games := Key{"render", "", "films"}, Key{"render", "", "games"}
	addRuns(m, 30, films, 2*second, 2*second)
	before := m.Task(testNow, films, 2*second)
	addRuns(m, 5000, games, 2*second, 8*second)
	after := m.Task(testNow, films, 2*second)
	if !within20Percent(after.Time(), before.Time()) {
		t.Errorf("predicted %v before and %v after", before.Time(), after.Time())
	}
}

// Guards against images that are used once and displace the groups that are in use.
func TestImagesUsedOnceDoNotDisplaceOthers(t *testing.T) {
	m := New()
	films := Key{"render", "encoder", "films"}
	addRuns(m, 30, films, 2*second, 6*second)
	for i := range 20_000 {
		m.AddRun(testNow, Key{"render", fmt.Sprint("build-", i), "games"}, 2*second, second)
	}
	if p := m.Task(testNow, films, 2*second); !within20Percent(p.Time(), 6*second) {
		t.Errorf("predicted %v", p.Time())
	}
}

// Guards against memory that grows with the number of teams, or with the length of the
// names that callers choose.
func TestGroupsAreBounded(t *testing.T) {
	m := New()
	name := strings.Repeat("n", 10_000)
	for range 6 {
		for i := range 10_000 {
			key := Key{"render", "", fmt.Sprint(name, i)}
			m.AddRun(testNow, key, second, 2*second)
			m.AddStep(testNow, key, second, 2*second, 10)
		}
	}
	lists := m.groups.fresh.Len() + m.groups.proven.Len()
	if m.Groups() > maxGroups || lists != m.Groups() {
		t.Errorf("%d groups, %d in the lists", m.Groups(), lists)
	}
	for id := range m.groups.byID {
		if len(id.queue) > maxKeyPart || len(id.image) > maxKeyPart || len(id.team) > maxKeyPart {
			t.Fatalf("key of %d bytes", len(id.String()))
		}
	}
	if p := m.Task(testNow, Key{"render", "", "another"}, second); !within20Percent(p.Time(), 2*second) {
		t.Errorf("the queue was dropped: predicted %v", p.Time())
	}
}

// Guards against different keys that share a group because of the characters in them.
func TestKeysAreDistinct(t *testing.T) {
	keys := []Key{{"a", "b", ""}, {"a", "", "b"}, {"a|b", "", ""}, {"", "a", "b"}, {"a", "b", "c"}, {"a", "b|c", ""},
		{boundedPart("a|b"), "", ""}, {"a\xff", "", ""}, {"", "", "a"}, {"", "", ""}}
	seen := map[string]Key{}
	for _, key := range keys {
		levels := levelsOf(kindRun, key)
		id := levels.ids[levels.count-1]
		if other, ok := seen[id.String()]; ok {
			t.Errorf("%q and %q share a group", key, other)
		}
		seen[id.String()] = key
		if parsed, ok := parseGroupID(id.String()); !ok || parsed != id || id.level() != levels.count-1 {
			t.Errorf("%q: parsed as %q", id, parsed)
		}
	}
}

// logRegression is the former model of a queue or image.
type logRegression struct{ n, x, y, xx, xy, yy float64 }

func (r *logRegression) add(estimateMs, actualMs float64) {
	x, y := math.Log(estimateMs), math.Log(max(1, actualMs))
	r.n = 0.985*r.n + 1
	r.x = 0.985*r.x + x
	r.y = 0.985*r.y + y
	r.xx = 0.985*r.xx + x*x
	r.xy = 0.985*r.xy + x*y
	r.yy = 0.985*r.yy + y*y
}

func (r *logRegression) slope() float64 {
	meanX, meanY := r.x/r.n, r.y/r.n
	slope := (r.xy/r.n - meanX*meanY) / (r.xx/r.n - meanX*meanX + 0.15/r.n)
	return min(max(slope, 0), 1)
}

func (r *logRegression) spread() float64 {
	if r.n < 4 {
		return 0.5
	}
	meanX, meanY, slope := r.x/r.n, r.y/r.n, r.slope()
	varX, varY := r.xx/r.n-meanX*meanX, r.yy/r.n-meanY*meanY
	return math.Sqrt(max(0, varY-2*slope*(r.xy/r.n-meanX*meanY)+slope*slope*varX))
}

func (r *logRegression) predict(estimateMs float64) float64 {
	if r.n < 4 || estimateMs < 50 {
		return estimateMs
	}
	predicted := math.Exp(r.y/r.n + r.slope()*(math.Log(estimateMs)-r.x/r.n))
	return min(max(predicted, 0.2*estimateMs), 6*estimateMs)
}
