package cellnode

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
)

const explainedWork = `{"id": "0000000000000001", "queue": "quotes", "team": "team", "steps": [{"count": 2, "size": {"cpu_millis": 500}}]}`

// fakeOwner answers explanations, over a peer connection or locally.
type fakeOwner struct {
	err     error
	calls   int
	address string
	in      api.ExplainCall
}

func (f *fakeOwner) Call(_ context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	if method != api.MethodExplain {
		return errkind.New(errkind.ProtocolMismatch, "method", "unknown method %q", method)
	}
	f.address = address
	answer, err := f.explain(context.Background(), in.(*api.ExplainCall))
	if err != nil {
		return err
	}
	*out.(*api.ExplainAnswer) = *answer
	return nil
}

func (f *fakeOwner) explain(_ context.Context, in *api.ExplainCall) (*api.ExplainAnswer, error) {
	f.calls++
	f.in = *in
	if f.err != nil {
		return nil, f.err
	}
	return &api.ExplainAnswer{Owner: "node-9", Pool: "desk", ConfigVersion: 3}, nil
}

// post posts a body to a handler that knows the owner as v, and returns the status and the body
// of the answer.
func (f *fakeOwner) post(v election.View, body string) (int, string) {
	h := &explainHandler{view: func() (election.View, <-chan struct{}) { return v, nil }, local: f.explain, peers: f}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/explain", strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// Guards against a call that does not reach the owner, or reaches it without the work.
func TestExplainIsAnsweredByTheOwner(t *testing.T) {
	for name, v := range map[string]election.View{"other node": {Address: "10.0.0.9:7000"}, "this node": {Address: "10.0.0.1:7000", Self: true}} {
		f := &fakeOwner{}
		status, body := f.post(v, explainedWork)
		var out api.ExplainAnswer
		if err := json.Unmarshal([]byte(body), &out); err != nil || status != http.StatusOK || out.Owner != "node-9" || out.ConfigVersion != 3 {
			t.Errorf("%s: status %d, %s, %v", name, status, body, err)
		}
		if forwarded := f.address == v.Address; forwarded == v.Self {
			t.Errorf("%s: forwarded to %q", name, f.address)
		}
		if f.in.Work.Queue != "quotes" || f.in.Work.Team != "team" || len(f.in.Work.Steps) != 1 {
			t.Errorf("%s: the owner got %+v", name, f.in.Work)
		}
	}
}

// Guards against an answer without an owner, and against an outcome that is reported as unknown
// although the call can't change anything.
func TestExplainReportsErrorsOfTheOwner(t *testing.T) {
	other := election.View{Address: "10.0.0.9:7000"}
	for name, tc := range map[string]struct {
		view   election.View
		err    error
		kind   errkind.Kind
		status int
	}{
		"no owner":  {election.View{}, nil, errkind.OwnerUnavailable, 503},
		"loading":   {other, errkind.New(errkind.OwnerUnavailable, "", "the records of the cell are being loaded"), errkind.OwnerUnavailable, 503},
		"lost":      {other, errkind.New(errkind.OutcomeUnknown, "", "no response"), errkind.OwnerUnavailable, 503},
		"not sent":  {other, errkind.New(errkind.DeadlineExceeded, "", "the deadline passed"), errkind.OwnerUnavailable, 503},
		"not found": {other, errkind.New(errkind.NotFound, "queue", "queue does not exist"), errkind.NotFound, 404},
		"old owner": {other, errkind.New(errkind.ProtocolMismatch, "method", "unknown method"), errkind.ProtocolMismatch, 400},
		"local":     {election.View{Address: "10.0.0.1:7000", Self: true}, errkind.New(errkind.NotFound, "queue", "queue does not exist"), errkind.NotFound, 404},
	} {
		f := &fakeOwner{err: tc.err}
		status, body := f.post(tc.view, explainedWork)
		var out api.ErrorBody
		if err := json.Unmarshal([]byte(body), &out); err != nil || status != tc.status || out.Error.Kind != string(tc.kind) {
			t.Errorf("%s: status %d, %s, %v", name, status, body, err)
		}
		if tc.kind == errkind.NotFound && out.Error.Field != "queue" {
			t.Errorf("%s: field %q", name, out.Error.Field)
		}
	}
}

// Guards against an invalid or large body that reaches the owner, and against an error without a
// field.
func TestExplainChecksTheBody(t *testing.T) {
	for body, want := range map[string]string{
		"":   "document",
		"[]": "document",
		strings.Replace(explainedWork, `"count": 2`, `"count": 0`, 1):                "count",
		strings.Replace(explainedWork, `"count": 2, `, "", 1):                        "steps[0].count",
		strings.Replace(explainedWork, "0000000000000001", "x", 1):                   "id",
		strings.Replace(explainedWork, "500", "-5", 1):                               "steps[0].size.cpu_millis",
		explainedWork + string(bytes.Repeat([]byte{' '}, maxExplainBytes)):           "body",
		strings.Replace(explainedWork, `"team": "team"`, `"team": "team", "x":1`, 1): "x",
	} {
		f := &fakeOwner{}
		status, answer := f.post(election.View{Self: true}, body)
		var out api.ErrorBody
		if err := json.Unmarshal([]byte(answer), &out); err != nil || out.Error.Field != want || status/100 != 4 || f.calls > 0 {
			t.Errorf("%.60s: status %d, %s, %v; want an error about %s", body, status, answer, err, want)
		}
	}
}

// Guards against a fault anywhere on the path from the client to the core of the owner, and
// against an explanation that submits the work.
func TestExplainAtEachNode(t *testing.T) {
	t.Parallel()
	c := startCell(t, 2, testOptions(3))
	var in api.WorkSpec
	if err := readWork(strings.NewReader(explainedWork), &in); err != nil {
		t.Fatal(err)
	}
	for _, n := range c.nodes {
		cl, err := client.New(client.Options{Addresses: []string{n.node.settings.MetricsAddress}})
		if err != nil {
			t.Fatal(err)
		}
		defer cl.Close()
		var out *api.ExplainAnswer
		c.eventually(5*time.Second, "explained", func() bool {
			out, err = cl.Explain(t.Context(), &in)
			return err == nil && out.Steps[0].Placeable == 2
		})
		if out.Pool != "desk" || out.Owner != c.owner().node.settings.Node || len(out.Steps[0].Workers) != 3 {
			t.Errorf("%s: %+v", n.node.settings.Node, out)
		}
		unknown := in
		unknown.Queue = "nowhere"
		if _, err := cl.Explain(t.Context(), &unknown); !errkind.Is(err, errkind.NotFound) || errkind.From(err).Field != "queue" {
			t.Errorf("unknown queue: %v", err)
		}
	}
	if status, _, err := c.client().State(t.Context(), 0, "quotes", in.Id); err != nil || status != http.StatusGone {
		t.Errorf("state of the explained work: status %d, %v", status, err)
	}
}
