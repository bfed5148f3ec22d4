package httpapi

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/registry"
)

// Requests executes short requests (package router).
type Requests interface {
	Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error)
	RequestStatus(ctx context.Context, team, id string) (*api.RequestStatus, error)
	CancelRequest(ctx context.Context, team, id string) (*api.RequestStatus, error)
}

// Jobs submits, lists and cancels jobs (package router).
type Jobs interface {
	SubmitJob(ctx context.Context, spec *api.JobSpec) (*api.JobRow, error)
	JobStatus(ctx context.Context, team, id string) (*api.JobRow, error)
	CancelJob(ctx context.Context, team, id string) (*api.JobRow, error)
	ListJobs(ctx context.Context, in *api.ListJobsRequest) (*api.JobList, error)
}

// Admin reads and changes the configuration and keys (package registry).
type Admin interface {
	Apply(ctx context.Context, base int, doc api.Configuration, author string) (api.Applied, error)
	Plan(ctx context.Context, base int, doc api.Configuration) (api.Plan, error)
	// View returns a version of the configuration; version 0 means the one in force.
	View(version int) (api.ConfigView, error)
	Grant(ctx context.Context, grant api.KeyGrant) (api.KeyGranted, error)
	Withdraw(ctx context.Context, id string) (api.Applied, error)
	ListKeys() api.KeyList
}

// StateDumper returns the state of the process for operators.
type StateDumper interface {
	StateDump(ctx context.Context) (*api.StateDump, error)
}

// Options are the dependencies of a Server. Limits that are 0 get the defaults of
// the schema.
type Options struct {
	Requests Requests
	Jobs     Jobs
	Admin    Admin
	State    StateDumper
	Registry registry.View
	Ready    func() error         // returns an error if the balancer must not send callers to this node; Registry.CheckFresh if nil
	Metrics  *prometheus.Registry // served on /metrics; a new registry if nil
	Limits   api.Limits
	Clock    clock.Clock
	Logger   log.Logger
}

// Limits of the API.
const (
	defaultMaxBodyBytes    = 1 << 20
	defaultMaxHeaderBytes  = 16 << 10
	defaultMaxOpenRequests = 8192
	defaultMaxBodyMemory   = 64 << 20
	defaultMaxConnections  = 8192
	maxSecretBytes         = 256
	maxContentTypeBytes    = 256

	// Numbers of values up to which a document is decoded. Each takes many times the memory of
	// its shortest text.
	maxSubmissionValues    = 1000
	maxConfigurationValues = 100_000

	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = time.Minute

	closeStalledInterval = 50 * time.Millisecond // during a shutdown

	defaultListLimit = 100
	maxListLimit     = 1000
)

func (o *Options) setDefaults() {
	if o.Ready == nil {
		o.Ready = o.Registry.CheckFresh
	}
	if o.Metrics == nil {
		o.Metrics = prometheus.NewRegistry()
	}
	if o.Limits.MaxBodyBytes == 0 {
		o.Limits.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.Limits.MaxHeaderBytes == 0 {
		o.Limits.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if o.Limits.MaxOpenRequests == 0 {
		o.Limits.MaxOpenRequests = defaultMaxOpenRequests
	}
	if o.Limits.MaxBodyMemoryBytes == 0 {
		o.Limits.MaxBodyMemoryBytes = defaultMaxBodyMemory
	}
	if o.Limits.MaxConnections == 0 {
		o.Limits.MaxConnections = defaultMaxConnections
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
}
