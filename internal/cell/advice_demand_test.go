package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// offer submits a work and reports whether it was accepted.
func (sim *simulation) offer(spec *api.WorkSpec) bool {
	sim.t.Helper()
	accepted := true
	sim.specs[spec.Id] = spec
	sim.cell.Submit(spec, func(_ bool, err error) {
		if err != nil {
			accepted = false
			if !errkind.Is(err, errkind.Overloaded) {
				sim.t.Errorf("submit %s: %v", spec.Id, err)
			}
		}
	})
	return accepted
}

// offerLong offers long works of the teams in turn that need a multiple of the advice of the
// nodes, for d, and returns the accepted ones and the number of refused ones of each team.
func offerLong(sim *simulation, nodes int, multiple float64, d time.Duration, teams ...string) (accepted *[]string, refused map[string]int) {
	accepted, refused = &[]string{}, map[string]int{}
	interval := time.Duration(float64(224*time.Millisecond) / multiple / float64(nodes))
	for n := range int(d / interval) {
		sim.after(time.Duration(n)*interval, func() {
			spec := oneStep(1000+n, "long", tasksOf(2, 300))
			spec.Team = teams[n%len(teams)]
			if sim.offer(spec) {
				*accepted = append(*accepted, spec.Id)
			} else {
				refused[spec.Team]++
			}
		})
	}
	return accepted, refused
}

// Guards against works that are accepted although their advice comes too late to be of use,
// and against a backlog of advice that outlasts the load.
func TestWorksBeyondTheAdviceAreRefused(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 9} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			sim := startScarceAdvice(t, nodes)
			sim.runFor(time.Second)
			accepted, refused := offerLong(sim, nodes, 2, 20*time.Second, "team")
			sim.runFor(20 * time.Second)
			if refused["team"] == 0 {
				t.Error("nothing was refused at twice the advice there is")
			}
			if want := 20 * nodes * 2; len(*accepted) < want {
				t.Errorf("%d works accepted, want at least %d", len(*accepted), want)
			}
			sim.runUntil(maxAdviceWait+2*time.Second, "all accepted works completed", func() bool {
				for _, id := range *accepted {
					if sim.state(id) != api.WorkStateCompleted {
						return false
					}
				}
				return true
			})
		})
	}
}

// Guards against refusals while there is advice enough.
func TestNothingIsRefusedWithinTheAdvice(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 9} {
		sim := startScarceAdvice(t, nodes)
		sim.runFor(time.Second)
		_, refused := offerLong(sim, nodes, 0.45, 20*time.Second, "team")
		sim.runFor(20 * time.Second)
		if refused["team"] > 0 {
			t.Errorf("%d works refused with %d nodes", refused["team"], nodes)
		}
	}
}

// Guards against refusals of a team within its share because another one asks for too much.
func TestRefusalsFallOnTheTeamThatAsksForMore(t *testing.T) {
	sim := startScarceAdvice(t, 2)
	sim.runFor(time.Second)
	teams := slices.Repeat([]string{"large"}, 19)
	_, refused := offerLong(sim, 2, 2, 20*time.Second, append(teams, "small")...)
	sim.runFor(20 * time.Second)
	if refused["large"] == 0 || refused["small"] > 0 {
		t.Errorf("refused %v", refused)
	}
}

// Guards against a lone work that is refused on an idle cell because its own calls take long.
func TestAnIdleCellRefusesNothing(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.runFor(time.Second)
	spec := oneStep(1, "long", tasksOf(1, 10))
	for range 30 {
		spec.Steps = append(spec.Steps, tasksOf(1, 10))
	}
	if !sim.offer(spec) {
		t.Error("refused")
	}
}
