package cellnode

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/platform/standin"
)

// lockedLog collects log lines of several goroutines.
type lockedLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(p)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// Guards against a team that learns of the works of another team through the API for
// clients, and against payloads and keys in logs, state dumps and metrics.
func TestTeamsDoNotSeeEachOther(t *testing.T) {
	t.Parallel()
	const (
		payload  = "payload-of-the-first-team"
		otherKey = "key-of-the-other-team"
	)
	o := testOptions(4)
	other := testTeam
	other.Name, other.Keys = "other", []string{otherKey}
	o.Teams = append(o.Teams, other)
	logs := &lockedLog{}
	c := startLoggingCell(t, 2, o, log.NewLogfmtLogger(logs))
	ctx := t.Context()
	first := c.client()
	second := standin.NewClient(c.platform, c.addresses(), other.Name, otherKey)
	id := testID(1)
	if status, err := first.Submit(ctx, 0, "quotes", id, payload, []standin.Step{shortStep}); err != nil || status != http.StatusOK {
		t.Fatalf("submit: status %d, %v", status, err)
	}
	for n := range c.nodes {
		status, state, err := second.State(ctx, n, "quotes", id)
		if err != nil || status == http.StatusOK || state != "" {
			t.Errorf("node %d shows the state %q of the work of another team, status %d, %v", n, state, status, err)
		}
		if status, err = second.Cancel(ctx, n, "quotes", id); err != nil || status == http.StatusOK {
			t.Errorf("node %d: another team cancels the work, status %d, %v", n, status, err)
		}
		status, err = second.SubmitUnregistered(ctx, n, "quotes", id, "another payload", []standin.Step{shortStep})
		if err != nil || status == http.StatusOK {
			t.Errorf("node %d: another team gets the ID, status %d, %v", n, status, err)
		}
		if _, _, err = second.State(ctx, n, "batch", id); err != nil {
			t.Error(err)
		}
		for _, body := range []string{c.get(n, "/metrics"), c.get(n, "/state")} {
			checkNoSecrets(t, body, payload, testTeam.Keys[0], otherKey)
		}
		if strings.Contains(c.get(n, "/metrics"), `"`+testTeam.Name+`"`) {
			t.Error("the metrics have a team as label")
		}
	}
	c.eventually(10*time.Second, "completed", func() bool {
		_, state, err := first.State(ctx, 1, "quotes", id)
		return err == nil && state == "completed"
	})
	checkNoSecrets(t, logs.String(), payload, otherKey, "="+testTeam.Keys[0])
}

// get returns a page of the metrics address of a node.
func (c *testCell) get(n int, path string) string {
	c.t.Helper()
	resp, err := http.Get("http://" + c.nodes[n].node.settings.MetricsAddress + path)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return string(body)
}

func checkNoSecrets(t *testing.T, text string, secrets ...string) {
	t.Helper()
	if text == "" {
		t.Error("nothing to check")
	}
	for _, secret := range secrets {
		if strings.Contains(text, secret) {
			t.Errorf("%q is shown", secret)
		}
	}
}
