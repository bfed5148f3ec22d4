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

// UpstreamOptions of the clients of workers and executors.
type UpstreamOptions struct {
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Timeout bounds each Sync and Fence; 0 for 3 s.
	Timeout time.Duration
	// ExecuteTimeout bounds each Execute; 0 for 15 min. The deadline of the
	// request is in the context.
	ExecuteTimeout time.Duration
	// MaxAnswerBytes bounds the answer of Execute; 0 for 4 MiB.
	MaxAnswerBytes int64
}

func (o UpstreamOptions) withDefaults() UpstreamOptions {
	if o.Timeout <= 0 {
		o.Timeout = defaultCallTimeout
	}
	if o.ExecuteTimeout <= 0 {
		o.ExecuteTimeout = defaultExecuteTimeout
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
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

// CloseIdleConnections closes the connections that carry no call.
func (c *WorkerClient) CloseIdleConnections() { c.client.CloseIdleConnections() }

// Sync renews leases at a worker, gives commands and returns its report.
func (c *WorkerClient) Sync(ctx context.Context, vm api.VM, in *api.WorkerSync) (*api.WorkerReport, error) {
	req := sling.New().Post(baseURL(vm.WorkerAddress, c.options.TLS) + PathSync).BodyJSON(in)
	out := new(api.WorkerReport)
	if err := callUpstream(ctx, c.client, c.options.Timeout, vm.Id, req, out); err != nil {
		return nil, err
	}
	if out.Vm != vm.Id {
		return nil, errkind.New(errkind.OutcomeUnknown, "", "VM %q answered for VM %q", out.Vm, vm.Id)
	}
	return out, nil
}

// callUpstream does a JSON call of a worker or executor.
func callUpstream(ctx context.Context, client *http.Client, timeout time.Duration, vm string, req *sling.Sling, out any) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, sent, err := call(bounded, client, req.Set(HeaderVM, vm), maxReportBytes)
	if err != nil {
		return failedCall(ctx, vm, sent, err)
	}
	if refused := refusedCall(vm, a.status, a.header); refused != nil {
		return refused
	}
	if err := a.decode(out); err != nil {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "", "VM %q gave no usable answer", vm)
	}
	return nil
}
