package fairshare

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestEntitlements guards against a wrong division in the standard cases of
// weighted max-min fairness.
func TestEntitlements(t *testing.T) {
	total := Vector{100, 100, 10}
	cases := []struct {
		name      string
		claimants []Claimant
		want      []float64
	}{
		{"nobody", nil, nil},
		{"no demand", []Claimant{{1, Vector{}}}, []float64{0}},
		{"all fits", []Claimant{{1, Vector{30}}, {1, Vector{50}}}, []float64{0.3, 0.5}},
		{"equal weights", []Claimant{{1, Vector{100}}, {1, Vector{100}}}, []float64{0.5, 0.5}},
		{"weights", []Claimant{{3, Vector{100}}, {1, Vector{100}}}, []float64{0.75, 0.25}},
		{"small demand leaves the rest", []Claimant{{1, Vector{10}}, {1, Vector{100}}, {1, Vector{100}}}, []float64{0.1, 0.45, 0.45}},
		{"different dominant resources", []Claimant{{1, Vector{100, 0}}, {1, Vector{0, 100}}}, []float64{1, 1}},
		{"dominant resource fairness", []Claimant{{1, Vector{100, 50}}, {1, Vector{50, 100}}}, []float64{2.0 / 3, 2.0 / 3}},
		{"accelerators", []Claimant{{1, Vector{10, 10, 10}}, {1, Vector{90, 10, 0}}}, []float64{1, 0.9}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := Entitlements(total, tc.claimants)
			for i := range tc.want {
				if math.Abs(got[i]-tc.want[i]) > 1e-6 {
					t.Errorf("claimant %d: got %.4f, want %.4f", i, got[i], tc.want[i])
				}
			}
		})
	}
}

// TestEntitlementsBounds guards against entitlements above a demand or, in sum,
// above the capacity, and against unused capacity that a claimant could use.
func TestEntitlementsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := Vector{100, 200, 8}
		amount := rapid.Float64Range(0, 300)
		claimants := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claimant {
			return Claimant{Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight"), Demand: Vector{amount.Draw(t, "cpu"), amount.Draw(t, "memory"), amount.Draw(t, "accelerators")}}
		}), 0, 20).Draw(t, "claims")
		var used Vector
		shares := Entitlements(total, claimants)
		for i, s := range shares {
			demandShare := DominantShare(claimants[i].Demand, total)
			if s > demandShare+1e-6 {
				t.Fatalf("claimant %d has a share of %.6f, its demand is only %.6f", i, s, demandShare)
			}
			for d := range used {
				if demandShare > 0 {
					used[d] += claimants[i].Demand[d] * s / demandShare
				}
			}
		}
		for d := range used {
			if used[d] > total[d]*(1+1e-6) {
				t.Fatalf("resource %d: %.6f of %.6f is allocated", d, used[d], total[d])
			}
		}
		for i, s := range shares {
			demandShare, exhausted := DominantShare(claimants[i].Demand, total), false
			for d := range used {
				exhausted = exhausted || (claimants[i].Demand[d] > 0 && used[d] > total[d]*(1-1e-6))
			}
			if s < demandShare-1e-6 && !exhausted {
				t.Fatalf("claimant %d has a share of %.6f of its demand of %.6f though no resource that it needs is used up", i, s, demandShare)
			}
		}
	})
}
