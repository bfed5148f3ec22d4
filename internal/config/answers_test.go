package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
)

// exampleAnswers returns the answers of an example cell.
func exampleAnswers(t testing.TB, name string) api.Answers {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(examplesDir, name, "answers.json"))
	if err != nil {
		t.Fatal(err)
	}
	a, err := ParseAnswers(data)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func errorFields(err error) []string {
	var list document.Errors
	errors.As(err, &list)
	var out []string
	for _, e := range list {
		out = append(out, e.Field)
	}
	return out
}

// Guards against accepting answers that no cell could serve, and against an error
// that does not give the field, the value and what is allowed.
func TestCheckAnswersRejects(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(a *api.Answers)
		field  string
		reason string
	}{
		{"pool twice", func(a *api.Answers) { a.Pools[1].Name = "desk" },
			"pools[1].name", `pool "desk" is given more than once`},
		{"rack twice", func(a *api.Answers) { a.Pools[0].Racks[1].Name = "desk-rack-1" },
			"pools[0].racks[1].name", `rack "desk-rack-1" is given more than once`},
		{"rack in two failure domains", func(a *api.Answers) { a.Pools[1].Racks[1].Name = "desk-rack-1" },
			"pools[1].racks[1].failure_domain", `value "north-b" must be "north-a"`},
		{"failure domain in two regions", func(a *api.Answers) { a.Pools[1].Region = "south" },
			"pools[1].racks[0].failure_domain", `failure domain "north-a" of region "south" is already in region "north"`},
		{"too few connections", func(a *api.Answers) { a.Pools[0].Connections = 15 },
			"pools[0].connections", "value 15 must be at least 16"},
		{"team twice", func(a *api.Answers) { a.Teams[1].Name = "quotes" },
			"teams[1].name", `team "quotes" is given more than once`},
		{"run twice", func(a *api.Answers) { a.Teams[0].Runs[1].Name = "check" },
			"teams[0].runs[1].name", `run "check" is given more than once`},
		{"unknown pool", func(a *api.Answers) { a.Teams[0].Runs[0].Pool = "attic" },
			"teams[0].runs[0].pool", `pool "attic" does not exist; pools are bench, desk`},
		{"requests on a pool without slots", func(a *api.Answers) { a.Pools[0].Slots = 0 },
			"teams[0].runs[0].pool", `pool "desk" has no executor slots`},
		{"open job queue", func(a *api.Answers) { a.Teams[1].Runs[1].Open = true },
			"teams[1].runs[1].open", `value true is allowed only for class "request"`},
		{"open queue that records responses", func(a *api.Answers) { a.Teams[0].Runs[1].Idempotent = false },
			"teams[0].runs[1].open", "value true is allowed only if idempotent is true"},
		{"idempotent job", func(a *api.Answers) { a.Teams[1].Runs[1].Idempotent = true },
			"teams[1].runs[1].idempotent", `value true is allowed only for class "request"`},
		{"deadline of a job queue", func(a *api.Answers) { a.Teams[1].Runs[1].DeadlineMs = 5 },
			"teams[1].runs[1].deadline_ms", "value 5 is allowed only for class"},
		{"limit above the fleet", func(a *api.Answers) { a.Teams[0].Limit.Slots = 385 },
			"teams[0].limit.slots", "value 385 must be at most 384, the capacity of the fleet"},
		{"no slots for requests", func(a *api.Answers) { a.Teams[0].Limit.Slots = 0 },
			"teams[0].limit.slots", `value 0 must be at least 1: run "check"`},
		{"no cores for jobs", func(a *api.Answers) { a.Teams[1].Limit.Cores = 0 },
			"teams[1].limit.cores", `value 0 must be at least 1: run "cut-list-build"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := exampleAnswers(t, "cooperative")
			tc.change(&a)
			err := CheckAnswers(a)
			if err == nil || !errkind.Is(err, errkind.InvalidArgument) {
				t.Fatalf("got %v, want invalid_argument", err)
			}
			if !slices.Contains(errorFields(err), tc.field) || !strings.Contains(err.Error(), tc.field+": "+tc.reason) {
				t.Errorf("got %v, want %s: %s", err, tc.field, tc.reason)
			}
		})
	}
}

// Guards against a check that stops at the first error: a team would have to
// submit its answers again for every mistake.
func TestCheckAnswersReportsAllErrors(t *testing.T) {
	a := exampleAnswers(t, "cooperative")
	a.Teams[0].Runs[0].Pool = "attic"
	a.Teams[1].Name = "quotes"
	a.Teams[2].Limit.Accelerators = 1000
	want := []string{"teams[0].runs[0].pool", "teams[1].name", "teams[2].limit.accelerators"}
	if diff := cmp.Diff(want, errorFields(CheckAnswers(a))); diff != "" {
		t.Errorf("fields (-want +got):\n%s", diff)
	}
}

// Guards against a configuration that depends on the order of the answers, which
// would show differences under version control where nothing changed.
func TestGenerateIgnoresOrder(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 0))
	a := exampleAnswers(t, "dyniowe-pole")
	want := Generate(a)
	r.Shuffle(len(a.Pools), func(i, j int) { a.Pools[i], a.Pools[j] = a.Pools[j], a.Pools[i] })
	r.Shuffle(len(a.Teams), func(i, j int) { a.Teams[i], a.Teams[j] = a.Teams[j], a.Teams[i] })
	for _, p := range a.Pools {
		r.Shuffle(len(p.Racks), func(i, j int) { p.Racks[i], p.Racks[j] = p.Racks[j], p.Racks[i] })
	}
	if diff := cmp.Diff(want, Generate(a)); diff != "" {
		t.Errorf("configuration depends on the order (-want +got):\n%s", diff)
	}
}

// Guards against input that panics, and against accepted answers whose
// configuration is not valid or does not survive encoding.
func FuzzAnswers(f *testing.F) {
	for _, name := range []string{"cooperative", "dyniowe-pole"} {
		data, err := json.Marshal(exampleAnswers(f, name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(bytes.ReplaceAll(data, []byte(`"slots":8`), []byte(`"slots":0`)))
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte(`{"format":1,"cell":"c","pools":[{"name":"p","region":"r","cores":1,"memory_gb":1,"slots":1,"connections":2,` +
		`"racks":[{"name":"k","failure_domain":"d","vms":30}]}],"teams":[{"name":"t","share":1,"limit":{"slots":1},` +
		`"runs":[{"name":"q","pool":"p","class":"request","urgency":"normal"}]}]}`))
	f.Add([]byte(`{"format":1e9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := ParseAnswers(data)
		if err != nil {
			if !errkind.Is(err, errkind.InvalidArgument) {
				t.Fatalf("error of another kind: %v", err)
			}
			return
		}
		c := Generate(a)
		encoded, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeConfiguration(encoded)
		if err != nil {
			t.Fatalf("configuration of accepted answers: %v", err)
		}
		if changes := Diff(c, decoded); len(changes) > 0 {
			t.Fatalf("encoding changed %v", changes)
		}
	})
}
