package platform

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

const maxReportBytes = 4 << 20

// UpstreamOptions configures the clients of workers and executors.
type UpstreamOptions struct {
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Timeout limits each Sync and Fence; 0 for 3 s.
	Timeout time.Duration
	// ExecuteTimeout limits each Execute, in addition to the deadline of the
	// context; 0 for 15 min.
	ExecuteTimeout time.Duration
	// MaxResponseBytes limits the response body of Execute; 0 for 4 MiB.
	MaxResponseBytes int64
}

func (o UpstreamOptions) withDefaults() UpstreamOptions {
	if o.Timeout <= 0 {
		o.Timeout = defaultCallTimeout
	}
	if o.ExecuteTimeout <= 0 {
		o.ExecuteTimeout = defaultExecuteTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	return o
}

// WorkerClient is the HTTP client of workers.
type WorkerClient struct {
	client  *http.Client
	options UpstreamOptions
}

// NewWorkerClient returns a client of all workers.
func NewWorkerClient(o UpstreamOptions) *WorkerClient {
	return &WorkerClient{client: newClient(o.TLS, 0), options: o.withDefaults()}
}

// CloseIdleConnections closes the connections without a running call.
func (c *WorkerClient) CloseIdleConnections() { c.client.CloseIdleConnections() }

// Sync renews leases at a worker, sends commands and returns the worker's report.
func (c *WorkerClient) Sync(ctx context.Context, vm api.VM, in *api.WorkerSync) (*api.WorkerReport, error) {
	req := sling.New().Post(baseURL(vm.WorkerAddress, c.options.TLS) + PathSync).BodyJSON(in)
	out := new(api.WorkerReport)
	if err := callUpstream(ctx, c.client, c.options.Timeout, vm.Id, req, out); err != nil {
		return nil, err
	}
	if out.Vm != vm.Id {
		return nil, errkind.New(errkind.OutcomeUnknown, "", "response is from VM %q instead of VM %q", out.Vm, vm.Id)
	}
	return out, nil
}

// callUpstream sends a call with a JSON response to a worker or executor.
func callUpstream(ctx context.Context, client *http.Client, timeout time.Duration, vm string, req *sling.Sling, out any) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, sent, err := call(bounded, client, req.Set(HeaderVM, vm), maxReportBytes)
	if err != nil {
		return callError(ctx, vm, sent, err)
	}
	if refused := refusalError(vm, resp.status, resp.header); refused != nil {
		return refused
	}
	if err := resp.decode(out); err != nil {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "", "unusable response from VM %q", vm)
	}
	return nil
}
