package runtimes

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
)

const testUnixMs = 1_700_000_000_000

// Guards against a takeover that loses or changes what was learned.
func TestRowRoundTrip(t *testing.T) {
	m, key, _ := withTail(5)
	for i := range 30 {
		m.AddStep(testNow, key, 3*second, time.Duration(5+i%3)*second, 28)
		m.AddRun(testNow, Key{"render", strings.Repeat("long", 40), "games"}, 3*second, 4*second)
	}
	data, err := m.Row(testNow, testUnixMs).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	var row api.RunTimeRow
	if _, err := row.UnmarshalMsg(data); err != nil {
		t.Fatal(err)
	}
	// The new owner has booted at another time.
	loaded, dropped := Load(&row, time.Minute, testUnixMs)
	if dropped != 0 || loaded.Groups() != m.Groups() {
		t.Fatalf("%d groups, %d dropped; want %d", loaded.Groups(), dropped, m.Groups())
	}
	for _, k := range []Key{key, {"render", strings.Repeat("long", 40), "games"}, {"render", "", "new"}} {
		for name, pair := range map[string][2]Prediction{
			"task":    {m.Task(testNow, k, 3*second), loaded.Task(time.Minute, k, 3*second)},
			"longest": {m.Longest(testNow, k, 3*second, 28), loaded.Longest(time.Minute, k, 3*second, 28)},
		} {
			want, got := pair[0], pair[1]
			if !closeTo(got.Time(), want.Time()) || !closeTo(got.Mean(), want.Mean()) || !closeTo(got.Remaining(5*second), want.Remaining(5*second)) {
				t.Errorf("%v %s: %v, mean %v; want %v, mean %v", k, name, got.Time(), got.Mean(), want.Time(), want.Mean())
			}
		}
	}
	again := loaded.Row(time.Minute, testUnixMs)
	for i := range again.Groups {
		if again.Groups[i].Key != row.Groups[i].Key {
			t.Errorf("group %d is %q, want %q", i, again.Groups[i].Key, row.Groups[i].Key)
		}
	}
}

func closeTo(got, want time.Duration) bool {
	return math.Abs(float64(got-want)) <= 0.02*float64(want)
}

// Guards against a row beyond the limit of the table service, and against the loss of the
// groups in use when there are many.
func TestRowIsBounded(t *testing.T) {
	m := New()
	for i := range 20_000 {
		team := fmt.Sprint(strings.Repeat("t", 50), i%2000)
		m.AddRun(testNow, Key{"render", strings.Repeat("i", 60), team}, 3*second, 4*second)
		m.AddRun(testNow, Key{"render", "encoder", "films"}, 3*second, 9*second)
	}
	row := m.Row(testNow, testUnixMs)
	data, err := row.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > MaxRowBytes || len(data) < MaxRowBytes*9/10 {
		t.Errorf("%d bytes, %d groups", len(data), len(row.Groups))
	}
	loaded, dropped := Load(row, testNow, testUnixMs)
	if p := loaded.Task(testNow, Key{"render", "encoder", "films"}, 3*second); dropped != 0 || !within20Percent(p.Time(), 9*second) {
		t.Errorf("%d dropped, predicted %v", dropped, p.Time())
	}
}

// Guards against the weight of old samples after an outage, and against a wrong time of
// day, in the past or future, that makes it fail.
func TestAgeOfRowCounts(t *testing.T) {
	m, key := New(), Key{Queue: "render"}
	addRuns(m, 100, key, 2*second, 4*second)
	row := m.Row(testNow, testUnixMs)
	weight := func(unixMs int64) float64 {
		loaded, _ := Load(row, second, unixMs)
		g := loaded.groups.byID[levelsOf(kindRun, key).ids[0]]
		return agedWeight(g.sums.n, minFitSamples, second-g.updatedAt)
	}
	fresh := weight(testUnixMs)
	if got := weight(testUnixMs + halfLife.Milliseconds()); math.Abs(got-fresh/2) > 0.01 {
		t.Errorf("weight %v after a half-life, %v before", got, fresh)
	}
	for _, unixMs := range []int64{math.MinInt64, 0, testUnixMs - 1} {
		if got := weight(unixMs); got != fresh {
			t.Errorf("at %d: weight %v", unixMs, got)
		}
	}
	if got := weight(math.MaxInt64); got != minFitSamples {
		t.Errorf("in the far future: weight %v", got)
	}
}

// Guards against invalid numbers in the row that get into predictions, and against the loss
// of the valid groups beside them.
func TestInvalidGroupsAreDropped(t *testing.T) {
	m, key, _ := withTail(6)
	valid := func() api.RunTimeGroup { return m.Row(testNow, testUnixMs).Groups[0] }
	for name, spoil := range map[string]func(*api.RunTimeGroup){
		"no samples":         func(g *api.RunTimeGroup) { g.Samples = 0 },
		"samples NaN":        func(g *api.RunTimeGroup) { g.Samples = math.NaN() },
		"samples negative":   func(g *api.RunTimeGroup) { g.Samples = -5 },
		"too many samples":   func(g *api.RunTimeGroup) { g.Samples = 1e9 },
		"sums missing":       func(g *api.RunTimeGroup) { g.Sums = nil },
		"sum missing":        func(g *api.RunTimeGroup) { g.Sums = g.Sums[:4] },
		"estimate NaN":       func(g *api.RunTimeGroup) { g.Sums[0] = math.NaN() },
		"estimate too large": func(g *api.RunTimeGroup) { g.Sums[0] *= 100 },
		"run time infinite":  func(g *api.RunTimeGroup) { g.Sums[1] = math.Inf(1) },
		"run time too small": func(g *api.RunTimeGroup) { g.Sums[1] *= -100 },
		"variance negative":  func(g *api.RunTimeGroup) { g.Sums[4] = 0 },
		"variance NaN":       func(g *api.RunTimeGroup) { g.Sums[2] = math.NaN() },
		"covariance":         func(g *api.RunTimeGroup) { g.Sums[3] = 1e9 },
		"bin missing":        func(g *api.RunTimeGroup) { g.Bins = g.Bins[1:] },
		"bin negative":       func(g *api.RunTimeGroup) { g.Bins[3] = -1 },
		"bin too large":      func(g *api.RunTimeGroup) { g.Bins[3] = math.MaxInt },
		"bins too large":     func(g *api.RunTimeGroup) { g.Bins[3], g.Bins[4] = 40_000, 40_000 },
		"no key":             func(g *api.RunTimeGroup) { g.Key = "" },
		"kind":               func(g *api.RunTimeGroup) { g.Key = "other|render||" },
		"part too long":      func(g *api.RunTimeGroup) { g.Key = "run|" + strings.Repeat("q", 65) + "||" },
		"too many parts":     func(g *api.RunTimeGroup) { g.Key += "|" },
		"duplicate":          func(g *api.RunTimeGroup) { g.Key = "step|other||" },
	} {
		t.Run(name, func(t *testing.T) {
			spoiled, other := valid(), valid()
			other.Key = "step|other||"
			spoil(&spoiled)
			row := &api.RunTimeRow{Groups: []api.RunTimeGroup{spoiled, other}, SavedUnixMs: testUnixMs}
			loaded, dropped := Load(row, testNow, testUnixMs)
			if dropped != 1 || loaded.Groups() != 1 {
				t.Errorf("%d dropped, %d groups", dropped, loaded.Groups())
			}
			if p := loaded.Task(testNow, key, 3*second); p.Time() != 3*second {
				t.Errorf("predicted %v", p.Time())
			}
		})
	}
}

// Guards against a missing row that is not taken as an empty model.
func TestLoadWithoutRow(t *testing.T) {
	for _, row := range []*api.RunTimeRow{nil, {}} {
		m, dropped := Load(row, testNow, testUnixMs)
		if dropped != 0 || m.Groups() != 0 {
			t.Errorf("%d dropped, %d groups", dropped, m.Groups())
		}
		if diff := cmp.Diff(&api.RunTimeRow{SavedUnixMs: testUnixMs}, m.Row(testNow, testUnixMs)); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a row that crashes the owner or makes its predictions useless.
func FuzzLoad(f *testing.F) {
	m, _, _ := withTail(7)
	m.AddStep(testNow, Key{"render", "encoder", "films"}, second, 2*second, 10)
	data, err := m.Row(testNow, testUnixMs).MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var row api.RunTimeRow
		if _, err := row.UnmarshalMsg(data); err != nil {
			return
		}
		loaded, dropped := Load(&row, testNow, testUnixMs)
		if dropped < 0 || loaded.Groups()+dropped != len(row.Groups) {
			t.Fatalf("%d of %d groups, %d dropped", loaded.Groups(), len(row.Groups), dropped)
		}
		keys := []Key{{"render", "", "films"}, {"render", "encoder", "films"}}
		for id := range loaded.groups.byID {
			keys = append(keys, Key{id.queue, id.image, id.team})
		}
		for _, key := range keys {
			for _, estimate := range []time.Duration{0, second, maxRunTime} {
				checkPrediction(t, loaded.Task(testNow, key, estimate), estimate, 5*second)
				checkPrediction(t, loaded.Longest(testNow, key, estimate, 10), estimate, 5*second)
			}
			loaded.AddRun(testNow, key, second, 2*second)
			checkPrediction(t, loaded.Task(testNow, key, second), second, 5*second)
		}
	})
}

// Guards against a row of a full model that takes noticeable time of a commit.
func BenchmarkRow(b *testing.B) {
	m := New()
	for i := range 5 * maxGroups {
		m.AddRun(testNow, Key{"render", "", fmt.Sprint(i % maxGroups)}, 3*second, 4*second)
	}
	for b.Loop() {
		m.Row(testNow, testUnixMs)
	}
}
