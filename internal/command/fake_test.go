package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/errkind"
)

const operatorKey = "operator-key"

// fakeAPI serves the HTTP API from state in memory.
type fakeAPI struct {
	mu          sync.Mutex
	version     int
	document    api.Configuration
	keys        []api.Key
	jobs        map[string]api.JobRow
	unconfirmed []string // nodes that do not confirm a change
	race        bool     // another operator applies a version before each apply
}

func newFakeAPI(t *testing.T, document api.Configuration) string {
	t.Helper()
	f := &fakeAPI{version: 1, document: document, jobs: map[string]api.JobRow{}}
	return f.start(t)
}

func (f *fakeAPI) start(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/requests", f.handleRequest)
	mux.HandleFunc("GET /v1/config", f.getConfig)
	mux.HandleFunc("GET /v1/config/versions/{n}", f.getConfig)
	mux.HandleFunc("POST /v1/config/plan", f.planConfig)
	mux.HandleFunc("POST /v1/config", f.applyConfig)
	mux.HandleFunc("GET /v1/keys", f.listKeys)
	mux.HandleFunc("POST /v1/keys", f.grantKey)
	mux.HandleFunc("DELETE /v1/keys/{id}", f.withdrawKey)
	mux.HandleFunc("POST /v1/jobs", f.submitJob)
	mux.HandleFunc("GET /v1/jobs", f.listJobs)
	mux.HandleFunc("GET /v1/jobs/{id}", f.getOrCancelJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", f.getOrCancelJob)
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"node": "node-1", "partitions": []string{}})
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.Header.Get("Authorization") != "Bearer "+operatorKey {
			writeError(w, errkind.Unauthenticated, "Authorization", "the key is unknown")
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a test notices a truncated response
}

func writeError(w http.ResponseWriter, kind errkind.Kind, field, reason string) {
	resp := errkind.ResponseOf(kind)
	writeJSON(w, resp.Status, api.ErrorBody{Error: api.ErrorDetail{
		Kind: string(kind), Field: field, Reason: reason, Outcome: string(resp.Outcome),
	}})
}

func decode[T any](r *http.Request) T {
	var v T
	_ = json.NewDecoder(r.Body).Decode(&v) // a wrong body shows in the golden file
	return v
}

func (f *fakeAPI) handleRequest(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("queue") {
	case "quotes.check":
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write([]byte("price 41 for " + r.Header.Get("Request-Id") + "\n"))
	case "quotes.price":
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("no price\n"))
	case "orders.place":
		writeError(w, errkind.OutcomeUnknown, "", "the connection to the upstream broke")
	default:
		writeError(w, errkind.NotFound, "queue", "queue does not exist")
	}
}

func (f *fakeAPI) getConfig(w http.ResponseWriter, r *http.Request) {
	if n := r.PathValue("n"); n != "" && n != strconv.Itoa(f.version) {
		writeError(w, errkind.NotFound, "version", "version does not exist")
		return
	}
	writeJSON(w, http.StatusOK, api.ConfigView{Version: f.version, Document: f.document})
}

func (f *fakeAPI) planConfig(w http.ResponseWriter, r *http.Request) {
	in := decode[api.ConfigApply](r)
	writeJSON(w, http.StatusOK, api.Plan{BaseVersion: f.version, Changes: config.Diff(f.document, in.Document)})
}

func (f *fakeAPI) applyConfig(w http.ResponseWriter, r *http.Request) {
	in := decode[api.ConfigApply](r)
	if f.race {
		f.version++
	}
	repeated := in.BaseVersion == f.version-1 && len(config.Diff(f.document, in.Document)) == 0
	if in.BaseVersion != f.version && !repeated {
		writeError(w, errkind.VersionConflict, "base_version", "version "+strconv.Itoa(f.version)+" is in force")
		return
	}
	f.version = in.BaseVersion + 1
	f.document = in.Document
	f.replyApplied(w, f.version)
}

// replyApplied responds to a change. Nodes in unconfirmed confirm it only when the
// change is repeated.
func (f *fakeAPI) replyApplied(w http.ResponseWriter, version int) {
	out := api.Applied{Version: version, Confirmed: len(f.unconfirmed) == 0, UnconfirmedNodes: f.unconfirmed}
	f.unconfirmed = nil
	status := http.StatusOK
	if !out.Confirmed {
		status = http.StatusAccepted
	}
	writeJSON(w, status, out)
}

func (f *fakeAPI) listKeys(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, api.KeyList{Keys: f.keys})
}

func (f *fakeAPI) grantKey(w http.ResponseWriter, r *http.Request) {
	in := decode[api.KeyGrant](r)
	key := api.Key{Id: "k" + strconv.Itoa(len(f.keys)+1), Team: in.Team, Role: in.Role, GrantedUnixMs: 1_780_000_000_000}
	f.keys = append(f.keys, key)
	writeJSON(w, http.StatusOK, api.KeyGranted{Key: key, Secret: "secret-of-" + key.Id, Confirmed: true})
}

func (f *fakeAPI) withdrawKey(w http.ResponseWriter, r *http.Request) {
	for i := range f.keys {
		if f.keys[i].Id == r.PathValue("id") {
			f.keys[i].WithdrawnUnixMs = 1_780_000_001_000
		}
	}
	f.replyApplied(w, len(f.keys))
}

func (f *fakeAPI) submitJob(w http.ResponseWriter, r *http.Request) {
	in := decode[api.JobSubmission](r)
	if in.Resources.CpuMillis > 64_000 {
		writeError(w, errkind.NeverRunnable, "resources.cpu_millis", "no VM has more than 64000")
		return
	}
	job := api.JobRow{
		Spec: api.JobSpec{Id: in.Id, Team: "workshop", Queue: in.Queue, Class: api.ClassBatch, Tasks: in.Tasks,
			DeadlineUnixMs: in.DeadlineUnixMs},
		State: api.JobStateQueued, Partition: "desk-workers", SubmittedUnixMs: 1_780_000_002_000,
	}
	for i := range in.Tasks {
		job.Tasks = append(job.Tasks, api.TaskRow{Index: i, State: api.TaskStatePending})
	}
	f.jobs[in.Id] = job
	writeJSON(w, http.StatusOK, job)
}

func (f *fakeAPI) listJobs(w http.ResponseWriter, r *http.Request) {
	out := api.JobList{Jobs: []api.JobRow{}}
	for _, j := range f.jobs {
		if s := r.URL.Query().Get("state"); s == "" || s == string(j.State) {
			out.Jobs = append(out.Jobs, j)
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (f *fakeAPI) getOrCancelJob(w http.ResponseWriter, r *http.Request) {
	job, ok := f.jobs[r.PathValue("id")]
	if !ok {
		writeError(w, errkind.NotFound, "id", "job does not exist")
		return
	}
	if r.Method == http.MethodDelete {
		job.State = api.JobStateCanceled
		f.jobs[job.Spec.Id] = job
	}
	writeJSON(w, http.StatusOK, job)
}
