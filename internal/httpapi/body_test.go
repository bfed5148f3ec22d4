package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/bodybudget"
)

// Guards against memory that stays charged after a call has ended, in whatever way.
func TestBodyIsReleasedAtEveryEnd(t *testing.T) {
	large := strings.Repeat("a", 4*bodybudget.SmallBodyBytes)
	for _, tt := range []struct{ name, body string }{
		{"small", "x"}, {"large", large}, {"failed", "error outcome_unknown"}, {"panic", "panic"}, {"not a job", "{"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, api.Limits{})
			for _, path := range []string{"/v1/queues/gallery.quote/requests", "/v1/jobs"} {
				req, err := http.NewRequest(http.MethodPost, f.http.URL+path, strings.NewReader(tt.body))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Authorization", "Bearer "+callerKey)
				resp, err := f.http.Client().Do(req)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
			}
			waitFor(t, func() bool { s := f.server.bodies.Stats(); return s.Small+s.Large == 0 })
		})
	}
}

// Guards against a refusal that is not told as one: without Retry-After, with another
// outcome than not_run, or on a connection that stays open. Small bodies are still served.
func TestLargeBodiesAreRefusedWhenTheBudgetIsUsedUp(t *testing.T) {
	const bodyBytes = 64 << 10
	f := newFixture(t, api.Limits{MaxBodyBytes: bodyBytes, MaxBodyMemoryBytes: 1})
	part := strings.Repeat("a", bodyBytes-1)
	total := func() (n int64) {
		s := f.server.bodies.Stats()
		return s.Large + s.Refused[bodybudget.ReasonTeam] + s.Refused[bodybudget.ReasonTotal]
	}
	refused := func() bool {
		s := f.server.bodies.Stats()
		return s.Refused[bodybudget.ReasonTeam]+s.Refused[bodybudget.ReasonTotal] > 0
	}
	for !refused() {
		before := total()
		conn := f.dialAndSend(t, rawRequest(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), part))
		waitFor(t, func() bool { return total() >= before+int64(len(part)) || refused() })
		if !refused() {
			continue
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" || !resp.Close || !strings.Contains(string(text), `"not_run"`) {
			t.Errorf("refusal: %d, %v, %s", resp.StatusCode, resp.Header, text)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(f.dialAndSend(t, rawRequest("Content-Length: 1\r\n", "x"))), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("small body: %+v, %v", resp, err)
	}
	_ = resp.Body.Close()
}

// Guards against a document whose values take many times the memory of its text.
func TestValuesAreCountedBeforeADocumentIsDecoded(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		exceed     bool
	}{
		{"few", `{"a":[1,2]}`, false}, // 4 values and names
		{"one more", `{"a":[1,2,3]}`, true},
		{"in a string", `{"a":"[,,,,\"::::\\"}`, false},
		{"many", strings.Repeat("[", 100_000), true},
		{"empty", "", false},
	} {
		if valuesExceed([]byte(tt.text), 4) != tt.exceed {
			t.Errorf("%s: exceed %v", tt.name, !tt.exceed)
		}
	}
	f := newFixture(t, api.Limits{})
	body := `{"x":[` + strings.Repeat("{},", 300_000) + `{}]}`
	resp, err := http.ReadResponse(bufio.NewReader(f.dialAndSend(t, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+callerKey+
		fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(body))+body)), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), "more than 1000 values") {
		t.Errorf("got %d, %s", resp.StatusCode, text)
	}
}
