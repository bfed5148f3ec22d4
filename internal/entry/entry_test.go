package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

func testDeclarations(version int, keys ...string) *Declarations {
	d := &Declarations{
		Config: &work.Config{Version: version, Queues: map[string]*work.Queue{
			"short": {Name: "short", Host: "h", Prefix: "/a/"},
			"long":  {Name: "long", Host: "h", Prefix: "/a/b/"},
			"open":  {Name: "open", Host: "h", Prefix: "/open/", Open: true},
		}},
		Keys: map[KeyHash]string{},
	}
	for _, k := range keys {
		d.Keys[HashKey(k)] = "team"
	}
	return d
}

// Guards against a call that is admitted to the queue of another prefix or with a wrong
// key.
func TestAdmit(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	a := NewAdmission(c, 3*time.Second)
	if _, err := a.Admit("h", "/a/x", "k"); !errkind.Is(err, errkind.NodeNotFresh) {
		t.Errorf("without a configuration: %v", err)
	}
	a.Install(testDeclarations(3, "k"))
	a.ConfirmCurrent(c.Boot())
	for _, tc := range []struct {
		host, path, key string
		queue, team     string
		kind            errkind.Kind
	}{
		{"h", "/a/x", "k", "short", "team", ""},
		{"h", "/a/b/x", "k", "long", "team", ""},
		{"h", "/a/b", "k", "short", "team", ""},
		{"h", "/a/x", "", "", "", errkind.Unauthenticated},
		{"h", "/a/x", "other", "", "", errkind.Unauthenticated},
		{"h", "/c/x", "k", "", "", errkind.NotFound},
		{"other", "/a/x", "k", "", "", errkind.NotFound},
		{"h", "/open/x", "", "open", "", ""},
		{"h", "/open/x", "k", "open", "team", ""},
		{"h", "/open/x", "other", "open", "", ""},
	} {
		call, err := a.Admit(tc.host, tc.path, tc.key)
		if tc.kind != "" {
			if !errkind.Is(err, tc.kind) {
				t.Errorf("%s%s with key %q: %v, want %s", tc.host, tc.path, tc.key, err, tc.kind)
			}
			continue
		}
		if err != nil || call.Queue.Name != tc.queue || call.Team != tc.team || call.Version != 3 {
			t.Errorf("%s%s with key %q: %+v, %v", tc.host, tc.path, tc.key, call, err)
		}
	}
}

// Guards against a withdrawn key that is accepted by a node without contact to the table
// service, and against the installation of an older configuration.
func TestFreshness(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	a := NewAdmission(c, 3*time.Second)
	a.Install(testDeclarations(5, "k"))
	a.ConfirmCurrent(c.Boot())
	c.Advance(2900 * time.Millisecond)
	if _, err := a.Admit("h", "/a/x", "k"); err != nil {
		t.Errorf("while fresh: %v", err)
	}
	c.Advance(200 * time.Millisecond)
	if _, err := a.Admit("h", "/a/x", "k"); !errkind.Is(err, errkind.NodeNotFresh) {
		t.Errorf("after 3.1 s: %v", err)
	}
	if _, err := a.Admit("h", "/open/x", ""); err != nil {
		t.Errorf("open queue: %v", err)
	}
	a.ConfirmCurrent(c.Boot() - 4*time.Second) // an older confirmation changes nothing
	if a.Fresh() {
		t.Error("an old confirmation made the declarations fresh")
	}
	if a.Install(testDeclarations(4, "k")) || a.Config().Version != 5 {
		t.Error("an older configuration was installed")
	}
}

// fakeOwner is an owner with scripted answers.
type fakeOwner struct {
	answers []error
	backlog []api.QueueBacklog // nil while the records are not loaded
}

func (o *fakeOwner) nextAnswer() error {
	if len(o.answers) == 0 {
		return nil
	}
	err := o.answers[0]
	o.answers = o.answers[1:]
	return err
}

func (o *fakeOwner) Submit(context.Context, *api.WorkSubmission) (*api.WorkAck, error) {
	return &api.WorkAck{}, o.nextAnswer()
}

func (o *fakeOwner) State(context.Context, *api.WorkRef) (*api.WorkStatus, error) {
	return &api.WorkStatus{State: api.WorkStateRunning}, o.nextAnswer()
}
func (o *fakeOwner) Cancel(context.Context, *api.WorkRef) error { return o.nextAnswer() }

func (o *fakeOwner) Backlog() ([]api.QueueBacklog, bool) { return o.backlog, o.backlog != nil }

type noPeers struct{}

func (noPeers) Call(context.Context, string, api.Method, msgp.Marshaler, msgp.Unmarshaler) error {
	return errkind.New(errkind.OwnerUnavailable, "", "no peers")
}

func testError(k errkind.Kind) error { return errkind.New(k, "", "test") }

// Guards against a submission that is reported as not run although an earlier try may
// have stored it, and against a missing retry where another try may succeed.
func TestSubmitOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []error
		want    errkind.Kind // empty for success
	}{
		{"stored", nil, ""},
		{"owner changes, then stored", []error{testError(errkind.OwnerUnavailable), testError(errkind.OutcomeUnknown)}, ""},
		{"store down", []error{testError(errkind.StoreUnavailable)}, errkind.StoreUnavailable},
		{"unknown, then refused", []error{testError(errkind.OutcomeUnknown), testError(errkind.StoreUnavailable)}, errkind.StoreUnavailable},
		{"unknown, then a full queue at the owner", []error{testError(errkind.OutcomeUnknown), testError(errkind.Overloaded)}, errkind.OutcomeUnknown},
		{"unknown, then too many connections", []error{testError(errkind.OutcomeUnknown), testError(errkind.ConnectionLimit)}, errkind.OutcomeUnknown},
		{"a full queue at the owner", []error{testError(errkind.Overloaded)}, errkind.Overloaded},
		{"wrong queue", []error{testError(errkind.NotFound)}, errkind.NotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewForwarder(Options{
				View:  func() (election.View, <-chan struct{}) { return election.View{Self: true, Address: "a"}, nil },
				Owner: &fakeOwner{answers: tc.answers}, Peers: noPeers{}, Clock: clock.System{},
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			spec := &api.WorkSpec{Id: "0123456789abcdef", Steps: []api.StepSpec{{Count: 1}}}
			err := f.Submit(ctx, AdmittedCall{Queue: &work.Queue{Name: "q"}}, spec)
			if tc.want == "" && err != nil || tc.want != "" && !errkind.Is(err, tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// Guards against an empty backlog reported by an owner whose records are not loaded, and
// against a backlog that is older than backlogMaxAge.
func TestBacklogFailsUntilKnown(t *testing.T) {
	reported := []api.QueueBacklog{{Queue: "q", Waiting: 7}}
	for _, tc := range []struct {
		name     string
		self     bool
		loaded   []api.QueueBacklog
		reported []api.QueueBacklog
		age      time.Duration
		want     int
		kind     errkind.Kind
	}{
		{name: "loaded here", self: true, loaded: []api.QueueBacklog{{Queue: "q", Waiting: 3}}, want: 3},
		{name: "empty here", self: true, loaded: []api.QueueBacklog{}},
		{name: "loading here, reported before", self: true, reported: reported, age: time.Second, want: 7},
		{name: "loading here", self: true, kind: errkind.OwnerUnavailable},
		{name: "reported by the owner", reported: reported, age: time.Second, want: 7},
		{name: "reported too long ago", reported: reported, age: 2 * time.Second, kind: errkind.OwnerUnavailable},
		{name: "never reported", kind: errkind.OwnerUnavailable},
	} {
		c := clock.NewFake(time.Unix(1000, 0))
		v := election.View{Address: "a", Self: tc.self, LastAnswerAt: c.Boot(), Backlog: tc.reported}
		if tc.reported != nil {
			v.BacklogAt = c.Boot()
		}
		c.Advance(tc.age)
		f := NewForwarder(Options{
			View:  func() (election.View, <-chan struct{}) { return v, nil },
			Owner: &fakeOwner{backlog: tc.loaded}, Peers: noPeers{}, Clock: c,
		})
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		got, err := f.Backlog(ctx, "q")
		cancel()
		if got != tc.want || tc.kind == "" && err != nil || tc.kind != "" && !errkind.Is(err, tc.kind) {
			t.Errorf("%s: %d, %v; want %d, %q", tc.name, got, err, tc.want, tc.kind)
		}
	}
}

// silentPeers never answer; the first call closes called.
type silentPeers struct{ called chan struct{} }

func (p silentPeers) Call(ctx context.Context, _ string, _ api.Method, _ msgp.Marshaler, _ msgp.Unmarshaler) error {
	close(p.called)
	<-ctx.Done()
	return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no answer")
}

// Guards against an isolated node that holds calls until their deadline, and against a
// call that is reported as not run although it was sent.
func TestIsolatedNodeCancelsCalls(t *testing.T) {
	spec := &api.WorkSpec{Id: "0123456789abcdef", Steps: []api.StepSpec{{Count: 1}}}
	call := AdmittedCall{Queue: &work.Queue{Name: "q"}}
	view := election.View{Address: "a"}
	changed := make(chan struct{})
	var mu sync.Mutex
	peers := silentPeers{make(chan struct{})}
	f := NewForwarder(Options{
		View: func() (election.View, <-chan struct{}) {
			mu.Lock()
			defer mu.Unlock()
			return view, changed
		},
		Owner: &fakeOwner{}, Peers: peers, Clock: clock.System{},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	go func() {
		<-peers.called
		mu.Lock()
		defer mu.Unlock()
		view.Isolated = true
		close(changed)
		changed = make(chan struct{})
	}()
	began := time.Now()
	if err := f.Submit(ctx, call, spec); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("a submission that was sent: %v", err)
	}
	if err := f.Submit(ctx, call, spec); !errkind.Is(err, errkind.NodeIsolated) {
		t.Errorf("a submission that was not sent: %v", err)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the calls took %v", took)
	}
	if f.Ready() {
		t.Error("an isolated node is ready")
	}
}

// Guards against a submission whose first try has an unknown outcome and that is reported
// as not run because the owner changed and a later try was canceled before it was sent.
func TestCanceledTryKeepsUnknownOutcome(t *testing.T) {
	call := AdmittedCall{Queue: &work.Queue{Name: "q"}}
	for _, tc := range []struct {
		name    string
		answers []error
		want    errkind.Kind // empty for success
	}{
		{"canceled, then stored", []error{testError(errkind.Canceled)}, ""},
		{"unknown, canceled, then stored", []error{testError(errkind.OutcomeUnknown), testError(errkind.Canceled)}, ""},
		{"unknown, then too late to be sent", []error{testError(errkind.OutcomeUnknown), testError(errkind.DeadlineExceeded)}, errkind.OutcomeUnknown},
		{"too late to be sent", []error{testError(errkind.DeadlineExceeded)}, errkind.DeadlineExceeded},
	} {
		f := NewForwarder(Options{
			View:  func() (election.View, <-chan struct{}) { return election.View{Address: "a", Self: true}, nil },
			Owner: &fakeOwner{answers: tc.answers}, Peers: noPeers{}, Clock: clock.System{},
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		spec := &api.WorkSpec{Id: "0123456789abcdef", Steps: []api.StepSpec{{Count: 1}}}
		err := f.Submit(ctx, call, spec)
		cancel()
		if tc.want == "" && err != nil || tc.want != "" && !errkind.Is(err, tc.want) {
			t.Errorf("%s: got %v, want %q", tc.name, err, tc.want)
		}
	}
}
