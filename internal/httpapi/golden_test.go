package httpapi

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var uuidPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}`)

// step is one call of a session.
type step struct {
	note    string
	method  string
	path    string
	key     string
	header  string // lines "Name: value"
	body    string
	prepare func(*fixture)
}

// fixture is a running server with its fakes.
type fixture struct {
	server   *Server
	http     *httptest.Server
	registry *fakeRegistry
	backend  *fakeBackend
	log      bytes.Buffer
}

func newFixture(t testing.TB, limits api.Limits, changes ...func(*http.Server)) *fixture {
	f := &fixture{registry: &fakeRegistry{withdrawn: map[string]bool{}}, backend: &fakeBackend{block: make(chan struct{})}}
	s, err := New(Options{
		Requests: f.backend,
		Jobs:     f.backend,
		Admin:    f.backend,
		State:    f.backend,
		Registry: f.registry,
		Limits:   limits,
		Clock:    fixedClock{time.Now()},
		Logger:   log.NewSyncLogger(log.NewLogfmtLogger(&f.log)),
	})
	if err != nil {
		t.Fatal(err)
	}
	f.server = s
	f.http = httptest.NewUnstartedServer(nil)
	f.http.Config = s.HTTPServer()
	for _, change := range changes {
		change(f.http.Config)
	}
	f.http.Start()
	t.Cleanup(f.http.Close)
	return f
}

// Guards against any unintended change of what callers and operators see, and
// against malformed input that is accepted or explained wrongly.
func TestSessions(t *testing.T) {
	sessions := map[string][]step{
		"caller":    callerSession(),
		"operator":  operatorSession(),
		"malformed": malformedSession(),
	}
	for name, steps := range sessions {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, api.Limits{})
			var out bytes.Buffer
			for _, s := range steps {
				f.play(t, &out, s)
			}
			compareGolden(t, name, out.Bytes())
			f.checkPrivacy(t)
		})
	}
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}

// checkPrivacy looks for keys in the log and the metrics (hard case 19), and for
// labels that callers could invent.
func (f *fixture) checkPrivacy(t *testing.T) {
	t.Helper()
	resp, err := f.http.Client().Get(f.http.URL + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(metrics, []byte("endivehill_http_calls_total")) {
		t.Error("/metrics has no counter of calls")
	}
	f.http.Close() // ends the writers of the log
	for where, text := range map[string]string{"log": f.log.String(), "metrics": string(metrics)} {
		for _, secret := range []string{callerKey, otherKey, operatorKey, "eh_wrong", "eh_new", "gallery.none"} {
			if strings.Contains(text, secret) {
				t.Errorf("the %s contains %q", where, secret)
			}
		}
	}
}

// play makes the call of a step and writes it with its response to out.
func (f *fixture) play(t *testing.T, out *bytes.Buffer, s step) {
	t.Helper()
	if s.prepare != nil {
		s.prepare(f)
	}
	req, err := http.NewRequestWithContext(t.Context(), s.method, f.http.URL+s.path, strings.NewReader(s.body))
	if err != nil {
		t.Fatal(err)
	}
	if s.key != "" {
		req.Header.Set("Authorization", "Bearer "+s.key)
	}
	for line := range strings.Lines(s.header) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		req.Header.Add(name, value)
	}
	resp, err := f.http.Client().Do(req)
	if err != nil {
		t.Fatalf("%s: %v", s.note, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%s: %v", s.note, err)
	}
	fmt.Fprintf(out, "# %s\n> %s %s\n", s.note, s.method, shorten(s.path))
	writeHeader(out, ">", req.Header)
	if s.body != "" {
		fmt.Fprintf(out, ">\n> %s\n", shorten(s.body))
	}
	fmt.Fprintf(out, "< %d\n", resp.StatusCode)
	writeHeader(out, "<", resp.Header)
	fmt.Fprintf(out, "<\n< %s\n\n", strings.TrimSuffix(string(uuidPattern.ReplaceAll(body, []byte("<uuid>"))), "\n"))
}

func writeHeader(out *bytes.Buffer, mark string, h http.Header) {
	var lines []string
	for name, values := range h {
		for _, v := range values {
			if name != "Date" && name != "Content-Length" && name != "X-Content-Type-Options" {
				lines = append(lines, fmt.Sprintf("%s %s: %s\n", mark, name, shorten(uuidPattern.ReplaceAllString(v, "<uuid>"))))
			}
		}
	}
	sort.Strings(lines)
	out.WriteString(strings.Join(lines, ""))
}

func callerSession() []step {
	quote := "/v1/queues/gallery.quote/requests"
	job := `{"id":"cut-1","queue":"gallery.render","tasks":2,"resources":{"cpu_millis":500,"memory_mb":256}}`
	return []step{
		{note: "a request; the ID is made by the node", method: "POST", path: quote, key: callerKey, body: "hello"},
		{note: "a request with an ID and a deadline", method: "POST", path: quote, key: callerKey, header: "Request-Id: q-1\nRequest-Deadline: 2026-05-01T08:00:10.25Z\nContent-Type: text/plain", body: "hello"},
		{note: "a recorded response", method: "POST", path: "/v1/queues/gallery.charge/requests", key: callerKey, header: "Request-Id: c-1", body: "replay"},
		{note: "a response of the upstream with a status of its own", method: "POST", path: quote, key: callerKey, body: "status 409"},
		{note: "a response without a body", method: "POST", path: quote, key: callerKey, body: "status 204"},
		{note: "a status that HTTP does not have", method: "POST", path: quote, key: callerKey, body: "status 99"},
		{note: "an error that passes by itself", method: "POST", path: quote, key: callerKey, header: "Request-Id: q-2", body: "error overloaded"},
		{note: "an unknown outcome", method: "POST", path: quote, key: callerKey, header: "Request-Id: q-3", body: "error outcome_unknown"},
		{note: "a fault", method: "POST", path: quote, key: callerKey, header: "Request-Id: q-4", body: "panic"},
		{note: "an open queue needs no key", method: "POST", path: "/v1/queues/open.check/requests", header: "Request-Id: o-1", body: "x"},
		{note: "an open queue takes a key of any team", method: "POST", path: "/v1/queues/open.check/requests", key: otherKey, header: "Request-Id: o-2", body: "x"},
		{note: "an open queue rejects a wrong key", method: "POST", path: "/v1/queues/open.check/requests", key: "wrong", body: "x"},
		{note: "no key", method: "POST", path: quote, body: "x"},
		{note: "no key, queue does not exist: the same response", method: "POST", path: "/v1/queues/gallery.none/requests", body: "x"},
		{note: "a wrong key", method: "POST", path: quote, key: "eh_wrong", body: "x"},
		{note: "a key of another team", method: "POST", path: quote, key: otherKey, body: "x"},
		{note: "an operator key cannot work for a team", method: "POST", path: quote, key: operatorKey, body: "x"},
		{note: "status of a request", method: "GET", path: "/v1/requests/known", key: callerKey},
		{note: "status of another request", method: "GET", path: "/v1/requests/other", key: callerKey},
		{note: "cancel a request", method: "DELETE", path: "/v1/requests/known", key: callerKey},
		{note: "submit a job", method: "POST", path: "/v1/jobs", key: callerKey, body: job},
		{note: "submit a job without a key", method: "POST", path: "/v1/jobs", body: job},
		{note: "submit a job to a queue of another team", method: "POST", path: "/v1/jobs", key: otherKey, body: job},
		{note: "a job", method: "GET", path: "/v1/jobs/cut-1", key: callerKey},
		{note: "cancel a job", method: "DELETE", path: "/v1/jobs/cut-1", key: callerKey},
		{note: "list jobs", method: "GET", path: "/v1/jobs?state=running&after=cut-0&limit=5", key: callerKey},
		{note: "list jobs of another team", method: "GET", path: "/v1/jobs?team=kiln", key: callerKey},
		{note: "a caller key on an operator path", method: "GET", path: "/v1/config", key: callerKey},
		{note: "a withdrawn key", method: "POST", path: quote, key: callerKey, body: "x", prepare: func(f *fixture) {
			f.registry.set(func(r *fakeRegistry) { r.withdrawn[callerKey] = true })
		}},
		{note: "a node that is not fresh rejects even open queues", method: "POST", path: "/v1/queues/open.check/requests", body: "x", prepare: func(f *fixture) {
			f.registry.set(func(r *fakeRegistry) { r.stale = true })
		}},
		{note: "a node that is not fresh is not ready", method: "GET", path: "/readyz"},
		{note: "but alive", method: "GET", path: "/healthz"},
		{note: "a fresh node is ready", method: "GET", path: "/readyz", prepare: func(f *fixture) {
			f.registry.set(func(r *fakeRegistry) { r.stale = false })
		}},
		{note: "a stopping node is not ready", method: "GET", path: "/readyz", prepare: func(f *fixture) { f.server.Drain() }},
		{note: "a stopping node still serves", method: "POST", path: "/v1/queues/open.check/requests", header: "Request-Id: o-3", body: "x"},
	}
}

func operatorSession() []step {
	document := `{"format":1,"cell":"workshop","pools":[],"teams":[],"queues":[]}`
	apply := func(base string) string { return `{"base_version":` + base + `,"document":` + document + `}` }
	return []step{
		{note: "configuration in force", method: "GET", path: "/v1/config", key: operatorKey},
		{note: "a version", method: "GET", path: "/v1/config/versions/2", key: operatorKey},
		{note: "a version that does not exist", method: "GET", path: "/v1/config/versions/9", key: operatorKey},
		{note: "a version that is no number", method: "GET", path: "/v1/config/versions/x", key: operatorKey},
		{note: "plan", method: "POST", path: "/v1/config/plan", key: operatorKey, body: apply("3")},
		{note: "apply", method: "POST", path: "/v1/config", key: operatorKey, body: apply("3")},
		{note: "apply, not confirmed by every node", method: "POST", path: "/v1/config", key: operatorKey, body: apply("4")},
		{note: "apply from a version that is not in force", method: "POST", path: "/v1/config", key: operatorKey, body: apply("2")},
		{note: "apply a document that the schema accepts and the checks do not", method: "POST", path: "/v1/config", key: operatorKey, body: apply("5")},
		{note: "grant a key", method: "POST", path: "/v1/keys", key: operatorKey, body: `{"role":"caller","team":"gallery"}`},
		{note: "grant a caller key without a team", method: "POST", path: "/v1/keys", key: operatorKey, body: `{"role":"caller"}`},
		{note: "list keys; hashes are not shown", method: "GET", path: "/v1/keys", key: operatorKey},
		{note: "withdraw a key", method: "DELETE", path: "/v1/keys/k1", key: operatorKey},
		{note: "withdraw a key that does not exist", method: "DELETE", path: "/v1/keys/k5", key: operatorKey},
		{note: "state", method: "GET", path: "/v1/state", key: operatorKey},
		{note: "jobs of all teams", method: "GET", path: "/v1/jobs", key: operatorKey},
		{note: "a page of jobs of all teams has no order to continue", method: "GET", path: "/v1/jobs?after=cut-1", key: operatorKey},
		{note: "a job of a team", method: "GET", path: "/v1/jobs/cut-1?team=gallery", key: operatorKey},
		{note: "a job without a team", method: "GET", path: "/v1/jobs/cut-1", key: operatorKey},
		{note: "no key", method: "GET", path: "/v1/state"},
		{note: "a caller key", method: "POST", path: "/v1/keys", key: callerKey, body: `{"role":"operator"}`},
	}
}

func malformedSession() []step {
	quote := "/v1/queues/gallery.quote/requests"
	post := func(note, header, body string) step {
		return step{note: note, method: "POST", path: quote, key: callerKey, header: header, body: body}
	}
	job := func(note, body string) step {
		return step{note: note, method: "POST", path: "/v1/jobs", key: callerKey, body: body}
	}
	return []step{
		{note: "unknown path", method: "GET", path: "/v2/config", key: operatorKey},
		{note: "wrong method", method: "PUT", path: "/v1/config", key: operatorKey},
		{note: "unknown queue", method: "POST", path: "/v1/queues/gallery.none/requests", key: callerKey},
		{note: "queue of jobs", method: "POST", path: "/v1/queues/gallery.render/requests", key: callerKey},
		{note: "unknown parameter", method: "POST", path: quote + "?dry_run=1", key: callerKey},
		{note: "parameter given twice", method: "GET", path: "/v1/jobs?limit=1&limit=2", key: callerKey},
		{note: "limit out of range", method: "GET", path: "/v1/jobs?limit=0", key: callerKey},
		{note: "unknown state", method: "GET", path: "/v1/jobs?state=paused", key: callerKey},
		{note: "malformed ID in the path", method: "GET", path: "/v1/requests/a%2Fb", key: callerKey},
		{note: "body where none is taken", method: "DELETE", path: "/v1/jobs/cut-1", key: callerKey, body: "x"},
		post("malformed request ID", "Request-Id: a b", "x"),
		post("request ID that is too long", "Request-Id: "+strings.Repeat("a", 129), "x"),
		post("two request IDs", "Request-Id: a\nRequest-Id: b", "x"),
		post("deadline that is no time", "Request-Id: m-1\nRequest-Deadline: tomorrow", "x"),
		post("deadline in the past", "Request-Id: m-2\nRequest-Deadline: 2026-05-01T07:59:59Z", "x"),
		post("content type that is too long", "Request-Id: m-3\nContent-Type: "+strings.Repeat("a", 300), "x"),
		post("header over the limit", "X-Filler: "+strings.Repeat("a", 17<<10), "x"),
		post("body over the limit", "Request-Id: m-4", strings.Repeat("a", 1<<20+1)),
		post("two keys", "Authorization: Bearer "+otherKey, "x"),
		{note: "key with another scheme", method: "POST", path: quote, header: "Authorization: Basic eDp5", body: "x"},
		{note: "key that is too long", method: "POST", path: quote, key: strings.Repeat("k", 300), body: "x"},
		job("malformed JSON", `{"id":`),
		job("no document", ``),
		job("text after the document", `{"id":"a","queue":"gallery.render","tasks":1,"resources":{}} x`),
		job("unknown field", `{"id":"a","queue":"gallery.render","tasks":1,"resources":{},"priority":9}`),
		job("all errors at once", `{"id":"a/b","queue":"gallery.render","tasks":0,"resources":{"cpu_millis":-1,"gpus":2}}`),
		job("missing fields", `{}`),
		job("fraction for an integer", `{"id":"a","queue":"gallery.render","tasks":1.5,"resources":{}}`),
		job("duplicate field", `{"id":"a","id":"b","queue":"gallery.render","tasks":1,"resources":{}}`),
		job("sizes of zero", `{"id":"a","queue":"gallery.render","tasks":1,"resources":{}}`),
		job("size larger than any VM", `{"id":"a","queue":"gallery.render","tasks":1,"resources":{"cpu_millis":1,"memory_mb":1,"accelerators":9}}`),
		job("job on a queue of requests", `{"id":"a","queue":"gallery.quote","tasks":1,"resources":{"cpu_millis":1,"memory_mb":1}}`),
		job("job with a deadline in the past", `{"id":"a","queue":"gallery.render","tasks":1,"resources":{"cpu_millis":1,"memory_mb":1},"deadline_unix_ms":1}`),
		{note: "malformed configuration", method: "POST", path: "/v1/config", key: operatorKey, body: `{"base_version":-1,"document":{"format":2,"cell":"X","pools":[],"teams":[{"name":"a","share":0,"limit":{}}],"queues":[]}}`},
		{note: "unknown role", method: "POST", path: "/v1/keys", key: operatorKey, body: `{"role":"root"}`},
	}
}
