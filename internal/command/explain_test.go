package command

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// newFakeNode serves the metrics address of a node. It has the queue "check".
func newFakeNode(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /explain", func(w http.ResponseWriter, r *http.Request) {
		in := decode[api.WorkSpec](r)
		switch {
		case r.Header.Get("Authorization") != "":
			writeError(w, errkind.Internal, "", "the key was sent to an address that needs none")
		case in.Queue == "lost":
			writeError(w, errkind.OwnerUnavailable, "", "the cell has no owner at present")
		case in.Queue != "check":
			writeError(w, errkind.NotFound, "queue", "queue does not exist")
		default:
			writeJSON(w, http.StatusOK, fakeExplanation(&in))
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func fakeExplanation(in *api.WorkSpec) *api.ExplainAnswer {
	out := &api.ExplainAnswer{Owner: "node-1", Pool: "desk", ConfigVersion: 7, AdviceWaitMs: 1250}
	if in.Team == "busy" {
		out.Refusal = "overloaded: the pool is full"
	}
	for i := range in.Steps {
		s := api.ExplainStep{Step: i, WaitsFor: "the end of step 0"}
		if i == 0 {
			s = api.ExplainStep{Placeable: min(2, in.Steps[i].Count), PredictedMs: in.Steps[i].EstimateMs, WaitsFor: "room", Workers: []api.ExplainWorker{
				{Worker: "w2", FailureDomain: "f1", Rack: "r1", Fits: 2, Score: -0.75, Free: api.Resources{CpuMillis: 2000, MemoryMb: 512}},
				{Worker: "w1", FailureDomain: "f1", Free: api.Resources{CpuMillis: 100}, ExcludedBy: "no_room"},
				{Worker: "w3", ExcludedBy: "unlisted"},
			}}
		}
		out.Steps = append(out.Steps, s)
	}
	return out
}

const explainedWork = `{"steps": [
	{"count": 3, "size": {"cpu_millis": 1000, "memory_mb": 256}, "estimate_ms": 480},
	{"count": 1, "size": {"cpu_millis": 1000}, "after": [0]}]}`

// Guards against changes of the output and the exit codes, against an invalid work that is sent,
// and against an error that does not name the field and the reason.
func TestExplainSession(t *testing.T) {
	tr := newTranscript(t, newFakeNode(t))
	for name, text := range map[string]string{
		"work.json":     explainedWork,
		"full.json":     `{"id": "00000000000000ab", "queue": "other", "team": "busy", "steps": [{"count": 1, "size": {}}]}`,
		"no-tasks.json": `{"steps": [{"count": 0, "size": {}}]}`,
		"late.json":     `{"steps": [{"count": 1, "size": {}, "after": [1]}, {"count": 1, "size": {}}]}`,
		"unknown.json":  strings.Replace(explainedWork, "count", "counts", 1),
		"empty.json":    "{}",
		"list.json":     "[]",
		"cut.json":      "{\n  \"steps\": [",
	} {
		tr.writeFile(name, []byte(text))
	}
	for _, line := range []string{
		"explain --address ADDR --queue check DIR/work.json",
		"explain --address ADDR --queue check --team busy --json DIR/work.json",
		"explain --address ADDR --queue check DIR/full.json",
		"explain --address ADDR --queue nowhere DIR/work.json",
		"explain --address ADDR --queue lost DIR/work.json",
		"explain --address 127.0.0.1:1 --queue check DIR/work.json",
		"explain --address ADDR --queue check DIR/no-tasks.json",
		"explain --address ADDR --queue check DIR/late.json",
		"explain --address ADDR --queue check DIR/unknown.json",
		"explain --address ADDR --queue check DIR/empty.json",
		"explain --address ADDR --queue check DIR/list.json",
		"explain --address ADDR --queue check DIR/cut.json",
		"explain --address ADDR --queue check DIR/missing.json",
		"explain --address ADDR DIR/work.json",
		"explain --queue check DIR/work.json",
		"explain --address ADDR --queue check",
		"explain --address ADDR --queue check --timeout 0s DIR/work.json",
	} {
		tr.runCommand(line)
	}
	tr.runWithInput(explainedWork, false, "explain --address ADDR --queue check -")
	tr.compareGolden("explain")
}
