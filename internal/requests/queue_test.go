package requests

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
)

// Guards against a team that gets more or less than its share of slot time, for
// different run times and numbers of requests.
func TestFairShares(t *testing.T) {
	type team struct {
		name    string
		share   int
		runTime time.Duration
		burst   int // queued requests
	}
	cases := []struct {
		name  string
		teams []team
		want  map[string]float64 // fraction of the slot time
	}{
		{"equal", []team{{"a", 1, 100 * time.Millisecond, 1e4}, {"b", 1, 100 * time.Millisecond, 1e4}}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"weighted", []team{{"a", 3, 100 * time.Millisecond, 1e4}, {"b", 1, 100 * time.Millisecond, 1e4}}, map[string]float64{"a": 0.75, "b": 0.25}},
		{"long requests", []team{{"a", 1, 10 * time.Millisecond, 1e5}, {"b", 1, time.Second, 1e4}}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"large burst", []team{{"a", 1, 50 * time.Millisecond, 1e5}, {"b", 1, 50 * time.Millisecond, 5e3}}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"three teams", []team{{"a", 5, 30 * time.Millisecond, 1e5}, {"b", 3, 300 * time.Millisecond, 1e4}, {"c", 2, 90 * time.Millisecond, 1e5}}, map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newFairQueue()
			runTimes := map[string]time.Duration{}
			var shares []api.Team
			for _, tm := range c.teams {
				shares = append(shares, api.Team{Name: tm.name, Share: tm.share})
				runTimes[tm.name] = tm.runTime
			}
			q.setShares(shares)
			for _, tm := range c.teams {
				for range tm.burst {
					q.push(&inFlightRequest{key: requestKey{team: tm.name}, queue: api.Queue{Urgency: api.UrgencyNormal}})
				}
			}
			got := serveFor(q, runTimes, 8, 60*time.Second)
			for name, want := range c.want {
				if diff := got[name] - want; diff > 0.03 || diff < -0.03 {
					t.Errorf("team %s got %.3f of the slot time, want %.2f", name, got[name], want)
				}
			}
		})
	}
}

// serveFor serves the queue with a number of slots for a time and returns the
// fraction of the slot time that each team got.
func serveFor(q *fairQueue, runTimes map[string]time.Duration, slots int, length time.Duration) map[string]float64 {
	type running struct {
		team    string
		end     time.Duration
		charged time.Duration
	}
	var active []running
	used := map[string]time.Duration{}
	for now := time.Duration(0); now < length; now += 5 * time.Millisecond {
		kept := active[:0]
		for _, r := range active {
			if r.end > now {
				kept = append(kept, r)
				continue
			}
			q.correctCharge(r.team, r.charged, runTimes[r.team])
		}
		active = kept
		for len(active) < slots {
			req := q.next(func(string) bool { return true })
			if req == nil {
				break
			}
			team := req.key.team
			active = append(active, running{team, now + runTimes[team], q.dequeueAndCharge(req)})
			used[team] += runTimes[team]
		}
	}
	total := time.Duration(0)
	for _, u := range used {
		total += u
	}
	out := map[string]float64{}
	for name, u := range used {
		out[name] = float64(u) / float64(total)
	}
	return out
}

// Guards against any order of service within a team other than by urgency, then
// deadline, then arrival.
func TestOrderWithinTeam(t *testing.T) {
	q := newFairQueue()
	add := func(id string, u api.Urgency, deadline, seq int) {
		q.push(&inFlightRequest{
			key:        requestKey{"a", id},
			queue:      api.Queue{Name: string(u), Urgency: u},
			deadline:   time.Duration(deadline),
			arrivalSeq: uint64(seq),
		})
	}
	add("background", api.UrgencyBackground, 1, 1)
	add("late", api.UrgencyNormal, 9, 2)
	add("second", api.UrgencyNormal, 5, 4)
	add("first", api.UrgencyNormal, 5, 3)
	add("urgent late", api.UrgencyUrgent, 8, 5)
	add("urgent", api.UrgencyUrgent, 7, 6)
	var got []string
	for req := q.next(func(string) bool { return true }); req != nil; req = q.next(func(string) bool { return true }) {
		q.dequeueAndCharge(req)
		got = append(got, req.key.id)
	}
	want := []string{"urgent", "urgent late", "first", "second", "late", "background"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a team that accumulates credit while it is idle.
func TestIdleTeamHasNoCredit(t *testing.T) {
	q := newFairQueue()
	q.setShares([]api.Team{{Name: "busy", Share: 1}, {Name: "idle", Share: 1}})
	push := func(team string) {
		q.push(&inFlightRequest{key: requestKey{team: team}, queue: api.Queue{Urgency: api.UrgencyNormal}})
	}
	all := func(string) bool { return true }
	for range 1000 {
		push("busy")
		q.dequeueAndCharge(q.next(all))
	}
	for range 100 {
		push("busy")
		push("idle")
	}
	idle := 0
	for range 40 {
		req := q.next(all)
		q.dequeueAndCharge(req)
		if req.key.team == "idle" {
			idle++
		}
	}
	if idle < 18 || idle > 22 {
		t.Errorf("the team that was idle got %d of 40 starts, want about 20", idle)
	}
}
