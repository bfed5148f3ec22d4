package httpapi

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/registry"
)

// Keys of the tests.
const (
	callerKey    = "eh_gallery_1111"
	otherTeamKey = "eh_kiln_2222"
	operatorKey  = "eh_operator_3333"
)

// fakeRegistry holds the queues and keys of the tests.
type fakeRegistry struct {
	mu        sync.Mutex
	stale     bool
	withdrawn map[string]bool
}

func (f *fakeRegistry) update(change func(*fakeRegistry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeRegistry) Snapshot() *registry.Snapshot {
	queue := func(name string, class api.Class, idempotent, open bool) api.Queue {
		team, _, _ := strings.Cut(name, ".")
		return api.Queue{Name: name, Team: team, Pool: "desk", Class: class, Idempotent: idempotent, Open: open, Urgency: api.UrgencyNormal, DeadlineMs: 30000}
	}
	return &registry.Snapshot{ConfigVersion: 3, Config: &api.Configuration{Queues: []api.Queue{
		queue("gallery.quote", api.ClassRequest, true, false),
		queue("gallery.charge", api.ClassRequest, false, false),
		queue("gallery.render", api.ClassBatch, false, false),
		queue("kiln.watch", api.ClassRequest, true, false),
		queue("open.check", api.ClassRequest, true, true),
	}}}
}

func (f *fakeRegistry) CheckFresh() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale {
		return errkind.New(errkind.NodeNotFresh, "", "the view is 5s old")
	}
	return nil
}

func (f *fakeRegistry) Authenticate(secret string) (api.Key, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := map[string]api.Key{
		callerKey:    {Id: "k1", Team: "gallery", Role: api.RoleCaller},
		otherTeamKey: {Id: "k2", Team: "kiln", Role: api.RoleCaller},
		operatorKey:  {Id: "k3", Role: api.RoleOperator},
	}
	k, ok := keys[secret]
	if !ok || f.withdrawn[secret] {
		return api.Key{}, errkind.New(errkind.Unauthenticated, "Authorization", "the key is unknown or withdrawn")
	}
	return k, nil
}

// fakeBackend serves requests, jobs and changes. The body of a request selects
// its response.
type fakeBackend struct {
	mu       sync.Mutex
	executed []*api.ExecuteRequest
	block    chan struct{}
}

func (f *fakeBackend) lastExecuted() *api.ExecuteRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.executed) == 0 {
		return nil
	}
	return f.executed[len(f.executed)-1]
}

func (f *fakeBackend) Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error) {
	f.mu.Lock()
	f.executed = append(f.executed, req)
	f.mu.Unlock()
	kind, isError := strings.CutPrefix(string(req.Body), "error ")
	switch {
	case isError:
		return nil, errkind.New(errkind.Kind(kind), "", "as asked for")
	case string(req.Body) == "panic":
		panic("as asked for")
	case string(req.Body) == "block":
		select {
		case <-f.block:
		case <-ctx.Done():
			return nil, errkind.Wrap(ctx.Err(), errkind.Canceled, "", "the caller went away")
		}
	}
	out := &api.ExecuteResponse{Status: 200, ContentType: req.ContentType, Body: req.Body, Vm: "vm-1"}
	var status int
	if n, _ := fmt.Sscanf(string(req.Body), "status %d", &status); n == 1 {
		out.Status = status
	}
	out.Replayed = string(req.Body) == "replay"
	return out, nil
}

func (f *fakeBackend) RequestStatus(_ context.Context, team, id string) (*api.RequestStatus, error) {
	if id != "known" {
		return nil, errkind.New(errkind.NotFound, "id", "request %q is not known", id)
	}
	return &api.RequestStatus{State: api.RequestStateDone, Reason: "of team " + team}, nil
}

func (f *fakeBackend) CancelRequest(ctx context.Context, team, id string) (*api.RequestStatus, error) {
	if st, err := f.RequestStatus(ctx, team, id); err != nil {
		return st, err
	}
	return &api.RequestStatus{State: api.RequestStateNotRun, Reason: "canceled"}, nil
}

func (f *fakeBackend) SubmitJob(_ context.Context, spec *api.JobSpec) (*api.JobRow, error) {
	if spec.Resources.Accelerators > 8 {
		return nil, errkind.New(errkind.NeverRunnable, "resources.accelerators", "no VM has %d accelerators", spec.Resources.Accelerators)
	}
	return &api.JobRow{Spec: *spec, Partition: "desk-workers", State: api.JobStateQueued, Tasks: []api.TaskRow{}, SubmittedUnixMs: 1}, nil
}

func (f *fakeBackend) JobStatus(_ context.Context, team, id string) (*api.JobRow, error) {
	if id != "cut-1" {
		return nil, errkind.New(errkind.NotFound, "id", "job %q is not known", id)
	}
	return &api.JobRow{Spec: api.JobSpec{Id: id, Team: team}, State: api.JobStateRunning, Tasks: []api.TaskRow{}}, nil
}

func (f *fakeBackend) CancelJob(ctx context.Context, team, id string) (*api.JobRow, error) {
	return f.JobStatus(ctx, team, id)
}

func (f *fakeBackend) ListJobs(ctx context.Context, in *api.ListJobsRequest) (*api.JobList, error) {
	row, err := f.JobStatus(ctx, in.Team, "cut-1")
	if err != nil {
		return nil, err
	}
	row.Reason = fmt.Sprintf("team %q state %q after %q limit %d", in.Team, in.State, in.After, in.Limit)
	return &api.JobList{Jobs: []api.JobRow{*row}}, nil
}

func (f *fakeBackend) Apply(_ context.Context, base int, _ api.Configuration, author string) (api.Applied, error) {
	switch base {
	case 3:
		return api.Applied{Version: 4, Confirmed: true}, nil
	case 4:
		return api.Applied{Version: 5, UnconfirmedNodes: []string{"entry-2"}}, errkind.New(errkind.Unconfirmed, "", "by %s", author)
	case 5:
		var errs document.Errors
		errs.Add("document.queues[0].pool", "pool %q does not exist", "x")
		errs.Add("document.teams", "has no team")
		return api.Applied{}, errs
	}
	return api.Applied{}, errkind.New(errkind.VersionConflict, "base_version", "version 3 is in force, not %d", base)
}

func (f *fakeBackend) Plan(_ context.Context, base int, _ api.Configuration) (api.Plan, error) {
	return api.Plan{BaseVersion: base, Changes: []api.Change{{Path: "teams/gallery/share", Before: "1", After: "2"}}}, nil
}

func (f *fakeBackend) View(version int) (api.ConfigView, error) {
	if version > 3 {
		return api.ConfigView{}, errkind.New(errkind.NotFound, "version", "version %d does not exist", version)
	}
	doc := api.Configuration{Format: 1, Cell: "workshop", Pools: []api.Pool{}, Teams: []api.Team{}, Queues: []api.Queue{}}
	return api.ConfigView{Version: max(version, 1), Document: doc}, nil
}

func (f *fakeBackend) Grant(_ context.Context, g api.KeyGrant) (api.KeyGranted, error) {
	key := api.Key{Id: "k9", Team: g.Team, Role: g.Role, SecretSha256: "0123", GrantedUnixMs: 1, Revision: 7}
	return api.KeyGranted{Key: key, Secret: "eh_new", Confirmed: true}, nil
}

func (f *fakeBackend) Withdraw(_ context.Context, id string) (api.Applied, error) {
	if id != "k1" {
		return api.Applied{}, errkind.New(errkind.NotFound, "id", "key %q does not exist", id)
	}
	return api.Applied{Version: 8, Confirmed: true}, nil
}

func (f *fakeBackend) ListKeys() api.KeyList {
	return api.KeyList{Keys: []api.Key{{Id: "k1", Team: "gallery", Role: api.RoleCaller, SecretSha256: "4567", GrantedUnixMs: 1, Revision: 2}}}
}

func (f *fakeBackend) StateDump(context.Context) (*api.StateDump, error) {
	return &api.StateDump{Json: `{"node":"entry-1"}`}, nil
}

// fixedClock has a fixed wall-clock time and a running boot time.
type fixedClock struct{ start time.Time }

func (c fixedClock) Now() time.Time      { return time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC) }
func (c fixedClock) Boot() time.Duration { return time.Since(c.start) }
