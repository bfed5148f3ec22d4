package document

import (
	"errors"
	"strings"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

const validJob = `{"id": "a", "queue": "t.q", "tasks": 1, "resources": {}}`

// Guards against malformed input that encoding/json accepts, against input that needs
// far more memory than its size, and against errors without a field or position.
func TestDecodeRejects(t *testing.T) {
	for _, tc := range []struct{ name, in, want string }{
		{"empty", ``, "document: JSON ends too early at line 1 column 1"},
		{"cut short", `{"id": "a"`, "document: JSON ends too early at line 1 column 11"},
		{"not JSON", "{\n  id}", "document: malformed JSON at line 2 column 3"},
		{"text after the end", validJob + "x", "document: unexpected text after the end"},
		{"not UTF-8", "{\"id\": \"\xff\"}", "document: text is not valid UTF-8"},
		{"not an object", `[]`, "document: value [] must be of type object"},
		{"null", `null`, "document: value null must be of type object"},
		{"name twice", `{"resources": {"slots": 1, "slots": 2}}`, "resources.slots: field is given more than once"},
		{"huge exponent", `{"tasks": 1e999999999}`, "tasks: value 1e999999999 is not an integer"},
		{"fraction", `{"tasks": 1.5}`, "tasks: value 1.5 is not an integer"},
		{"too many digits", `{"tasks": 99999999999999999999}`, "tasks: value 99999999999999999999 is not an integer of at most 18 digits"},
		{"deep nesting", strings.Repeat("[", 100_000), "document is nested deeper than 32 levels"},
		{"unknown field", `{"id": "a", "queue": "t.q", "tasks": 1, "resources": {"gpus": 1}}`,
			"resources.gpus: unknown field; allowed are accelerators, cpu_millis, memory_mb, slots"},
		{"wrong case", `{"ID": "a", "queue": "t.q", "tasks": 1, "resources": {}}`, "ID: unknown field"},
		{"missing", `{"id": "a", "queue": "t.q", "tasks": 1}`, "resources: field is missing"},
		{"type", `{"id": 7, "queue": "t.q", "tasks": 1, "resources": {}}`, "id: value 7 must be of type string"},
		{"pattern", `{"id": "a b", "queue": "t.q", "tasks": 1, "resources": {}}`, `id: value "a b" must match ^`},
		{"minimum", `{"id": "a", "queue": "t.q", "tasks": 0, "resources": {}}`, "tasks: value 0 must be at least 1"},
		{"negative", `{"id": "a", "queue": "t.q", "tasks": -4, "resources": {}}`, "tasks: value -4 must be at least 1"},
		{"maximum", `{"id": "a", "queue": "t.q", "tasks": 10001, "resources": {}}`, "tasks: value 10001 must be at most 10000"},
		{"long value", `{"id": "` + strings.Repeat("é", 200) + `", "queue": "t.q", "tasks": 1, "resources": {}}`, "... must match"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out api.JobSubmission
			err := Decode([]byte(tc.in), "JobSubmission", &out)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want %q", err, tc.want)
			}
			if !errkind.Is(err, errkind.InvalidArgument) || errkind.From(err).Field == "" {
				t.Errorf("error %v must be of kind invalid_argument and name a field", err)
			}
			if len(err.Error()) > 1000 {
				t.Errorf("error has %d bytes", len(err.Error()))
			}
		})
	}
}

// Guards against a check that stops at the first error, and against an unbounded
// number of errors for a hostile document.
func TestDecodeReportsAllErrorsUpToABound(t *testing.T) {
	var out api.JobSubmission
	err := Decode([]byte(`{"id": "", "tasks": 0, "x": 1}`), "JobSubmission", &out)
	var list Errors
	if !errors.As(err, &list) || len(list) != 5 {
		t.Fatalf("got %v, want 5 errors", err)
	}
	if d := list.Details(); d[0].Kind != "invalid_argument" || d[0].Outcome != "not_run" {
		t.Errorf("details %+v", d[0])
	}
	var many strings.Builder
	for range 1000 {
		many.WriteString(`{"a": 1, "a": 1}, `)
	}
	err = Decode([]byte("["+many.String()+"1]"), "JobSubmission", &out)
	if !errors.As(err, &list) || len(list) != maxErrors {
		t.Errorf("got %d errors, want %d", len(list), maxErrors)
	}
}

// Guards against accepting a Go value that violates the schema.
func TestCheckTypedValue(t *testing.T) {
	in := api.JobSubmission{Id: "a", Queue: "t.q", Tasks: 1}
	if err := Check(in, "JobSubmission"); err != nil {
		t.Errorf("valid value: %v", err)
	}
	in.Resources.CpuMillis = -1
	if err := Check(in, "JobSubmission"); !errkind.Is(err, errkind.InvalidArgument) {
		t.Errorf("negative size: got %v", err)
	}
}
