package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/platform"
)

// ServeHTTP serves the protocol of the table service.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

func (t *Table) registerRoutes() {
	t.mux.HandleFunc("GET "+platform.PathTableRow, t.serveGet)
	t.mux.HandleFunc("GET "+platform.PathTableRows, t.serveScan)
	t.mux.HandleFunc("POST "+platform.PathTableCommit, t.serveCommit)
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	if effect := t.beforeCall(r.Context(), false); effect != proceed {
		writeFaultEffect(w, effect)
		return
	}
	row := t.get(r.URL.Query().Get("key"))
	t.writeAnswer(w, r, false, toAPIRow(row))
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	if effect := t.beforeCall(r.Context(), false); effect != proceed {
		writeFaultEffect(w, effect)
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit is not a number", http.StatusBadRequest)
		return
	}
	out := api.TableRows{Rows: []api.TableRow{}}
	for _, row := range t.scan(q.Get("prefix"), q.Get("after"), limit) {
		out.Rows = append(out.Rows, toAPIRow(row))
	}
	t.writeAnswer(w, r, false, out)
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var in api.TableCommit
	if !readJSON(w, r, maxCommitBytes, &in) {
		return
	}
	checks, writes := fromAPICommit(in)
	if err := validateCommit(checks, writes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if effect := t.beforeCall(r.Context(), true); effect != proceed {
		writeFaultEffect(w, effect)
		return
	}
	version, err := t.apply(checks, writes)
	out := api.TableCommitResult{Applied: err == nil, Version: int(version)}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		out.ConflictKey = conflict.Key
	}
	if !t.afterCall(r.Context(), true) {
		t.countLostAnswer(err)
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, out)
}

// writeAnswer answers with v unless a fault loses the answer.
func (t *Table) writeAnswer(w http.ResponseWriter, r *http.Request, write bool, v any) {
	if !t.afterCall(r.Context(), write) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, v)
}

func toAPIRow(row platform.Row) api.TableRow {
	return api.TableRow{Key: row.Key, Value: row.Value, Version: int(row.Version)}
}

func fromAPICommit(in api.TableCommit) ([]platform.Check, []platform.Write) {
	checks := make([]platform.Check, 0, len(in.Checks))
	for _, c := range in.Checks {
		checks = append(checks, platform.Check{Key: c.Key, Version: int64(c.Version)})
	}
	writes := make([]platform.Write, 0, len(in.Writes))
	for _, w := range in.Writes {
		writes = append(writes, platform.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return checks, writes
}

// readJSON decodes a body of at most limit bytes into v. On failure it answers the
// call with the error and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	err := d.Decode(v)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return false
	}
	http.Error(w, "malformed JSON: "+err.Error(), http.StatusBadRequest)
	return false
}

// writeJSON answers with v as JSON and sets the content length.
func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller may have disconnected
}
