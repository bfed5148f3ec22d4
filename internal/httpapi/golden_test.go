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
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var uuidPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}`)

// step is one call of a session file. In the file a step consists of a note
// ("# note"), an optional change to make before the call ("! change"), one line
// with method, path and name of the key, header lines, and the body after an empty
// line. {a*9} stands for the letter a repeated nine times.
type step struct {
	note   string
	change string
	call   []string // method, path, key
	header []string // "Name: value"
	body   string
}

var repeatPattern = regexp.MustCompile(`\{(\w)\*(\d+)\}`)

func readSession(t *testing.T, name string) []step {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".session"))
	if err != nil {
		t.Fatal(err)
	}
	text := repeatPattern.ReplaceAllStringFunc(string(data), func(token string) string {
		m := repeatPattern.FindStringSubmatch(token)
		n, _ := strconv.Atoi(m[2])
		return strings.Repeat(m[1], n)
	})
	var steps []step
	for _, part := range strings.Split(strings.TrimSpace("\n"+text), "\n# ") {
		head, body, _ := strings.Cut(strings.TrimSpace(part), "\n\n")
		lines := strings.Split(strings.TrimPrefix(head, "# "), "\n")
		s := step{note: lines[0], body: body}
		lines = lines[1:]
		if change, ok := strings.CutPrefix(lines[0], "! "); ok {
			s.change = change
			lines = lines[1:]
		}
		s.call = append(strings.Fields(lines[0]), "")
		s.header = lines[1:]
		steps = append(steps, s)
	}
	return steps
}

// applyChange makes the change that a step names.
func (f *fixture) applyChange(t *testing.T, change string) {
	t.Helper()
	switch change {
	case "":
	case "withdraw caller":
		f.registry.update(func(r *fakeRegistry) { r.withdrawn[callerKey] = true })
	case "stale", "fresh":
		f.registry.update(func(r *fakeRegistry) { r.stale = change == "stale" })
	case "drain":
		f.server.Drain()
	default:
		t.Fatalf("unknown change %q", change)
	}
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

// Guards against unintended changes of the responses to callers and operators, and
// against malformed input that is accepted or reported with a wrong error.
func TestSessions(t *testing.T) {
	for _, name := range []string{"caller", "operator", "malformed"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, api.Limits{})
			var out bytes.Buffer
			for _, s := range readSession(t, name) {
				f.runStep(t, &out, s)
			}
			compareGolden(t, name, out.Bytes())
			f.checkNoSecrets(t)
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

// checkNoSecrets fails if the log or the metrics contain a key (hard case 19) or the
// name of a queue that does not exist, with which callers could create metric series.
func (f *fixture) checkNoSecrets(t *testing.T) {
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
		for _, secret := range []string{callerKey, otherTeamKey, operatorKey, "eh_wrong", "eh_new", "gallery.none"} {
			if strings.Contains(text, secret) {
				t.Errorf("the %s contains %q", where, secret)
			}
		}
	}
}

// runStep makes the call of a step and writes the call and its response to out.
func (f *fixture) runStep(t *testing.T, out *bytes.Buffer, s step) {
	t.Helper()
	f.applyChange(t, s.change)
	method, path, key := s.call[0], s.call[1], s.call[2]
	req, err := http.NewRequestWithContext(t.Context(), method, f.http.URL+path, strings.NewReader(s.body))
	if err != nil {
		t.Fatal(err)
	}
	if known, ok := map[string]string{"caller": callerKey, "other": otherTeamKey, "operator": operatorKey}[key]; ok {
		key = known
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for _, line := range s.header {
		name, value, _ := strings.Cut(line, ": ")
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
	fmt.Fprintf(out, "# %s\n> %s %s\n", s.note, method, truncate(path))
	writeHeaderLines(out, ">", req.Header)
	if s.body != "" {
		fmt.Fprintf(out, ">\n> %s\n", truncate(s.body))
	}
	fmt.Fprintf(out, "< %d\n", resp.StatusCode)
	writeHeaderLines(out, "<", resp.Header)
	fmt.Fprintf(out, "<\n< %s\n\n", strings.TrimSuffix(string(uuidPattern.ReplaceAll(body, []byte("<uuid>"))), "\n"))
}

func writeHeaderLines(out *bytes.Buffer, mark string, h http.Header) {
	var lines []string
	for name, values := range h {
		for _, v := range values {
			if name != "Date" && name != "Content-Length" && name != "X-Content-Type-Options" {
				lines = append(lines, fmt.Sprintf("%s %s: %s\n", mark, name, truncate(uuidPattern.ReplaceAllString(v, "<uuid>"))))
			}
		}
	}
	sort.Strings(lines)
	out.WriteString(strings.Join(lines, ""))
}
