package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

const (
	// ConnsPerExecutor is the maximum number of connections to one executor. An
	// executor accepts 64, which leaves room for several owners during handovers.
	ConnsPerExecutor = 16

	defaultExecuteTimeout         = 15 * time.Minute
	defaultMaxResponseBytes int64 = 4 << 20
)

// ExecutorClient is the HTTP client of executors.
type ExecutorClient struct {
	pool    *clientPool
	options UpstreamOptions
}

// NewExecutorClient returns a client of all executors.
func NewExecutorClient(o UpstreamOptions) *ExecutorClient {
	return &ExecutorClient{pool: newClientPool(o.TLS, ConnsPerExecutor), options: o.withDefaults()}
}

// CloseIdleConnections closes the connections without a running call.
func (c *ExecutorClient) CloseIdleConnections() { c.pool.closeIdle() }

// Fence raises the fencing token at an executor and returns the executor's status.
func (c *ExecutorClient) Fence(ctx context.Context, vm api.VM, partition string, token int64) (*api.ExecutorStatus, error) {
	client, release := c.pool.acquire(vm.ExecutorAddress)
	defer release()
	in := &api.ExecutorFence{Partition: partition, Epoch: int(token)}
	req := sling.New().Post(baseURL(vm.ExecutorAddress, c.options.TLS) + PathFence).BodyJSON(in)
	out := new(api.ExecutorStatus)
	if err := callUpstream(ctx, client, c.options.Timeout, vm.Id, req, out); err != nil {
		return nil, err
	}
	if out.Vm != vm.Id {
		return nil, errkind.New(errkind.OutcomeUnknown, "", "response is from VM %q instead of VM %q", out.Vm, vm.Id)
	}
	return out, nil
}

// Execute sends a request to an executor once and returns the complete response. The
// outcome of the error is not_run only if no byte of the request was written or the
// executor itself refused the request.
func (c *ExecutorClient) Execute(ctx context.Context, vm api.VM, in *api.ExecutorCall) (*api.ExecutorAnswer, error) {
	client, release := c.pool.acquire(vm.ExecutorAddress)
	defer release()
	bounded, cancel := context.WithTimeout(ctx, c.options.ExecuteTimeout)
	defer cancel()
	var d deliveryTracker
	req, err := c.executeRequest(d.context(bounded), vm, in)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidArgument, "", "the request to VM %q cannot be built", vm.Id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, callError(ctx, vm.Id, d.maybeWritten(), err)
	}
	defer resp.Body.Close()
	out, err := c.readExecuteResponse(vm.Id, in.RequestId, resp)
	if errkind.Is(err, errkind.OutcomeUnknown) {
		d.discard()
	}
	return out, err
}

// executeRequest builds a request that net/http cannot resend: it sets neither
// GetBody nor an idempotency header, and its body is never http.NoBody, which
// net/http treats as replayable.
func (c *ExecutorClient) executeRequest(ctx context.Context, vm api.VM, in *api.ExecutorCall) (*http.Request, error) {
	url := baseURL(vm.ExecutorAddress, c.options.TLS) + PathExecute
	body := onceReader{bytes.NewReader(in.Body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(in.Body))
	h := req.Header
	h.Set("Content-Type", in.ContentType)
	h.Set(HeaderVM, vm.Id)
	h.Set(HeaderEpoch, strconv.Itoa(in.Epoch))
	h.Set(HeaderPartition, in.Partition)
	h.Set(HeaderTeam, in.Team)
	h.Set(HeaderQueue, in.Queue)
	h.Set(HeaderRequestID, in.RequestId)
	return req, nil
}

// readExecuteResponse reads the response to a request. It rejects a response, even a
// refusal, that does not carry the request ID: on a reused connection it could belong
// to another request.
func (c *ExecutorClient) readExecuteResponse(vm, requestID string, resp *http.Response) (*api.ExecutorAnswer, error) {
	if got := resp.Header.Get(HeaderRequestID); got != requestID {
		return nil, errkind.New(errkind.OutcomeUnknown, "", "VM %q answered request %q instead of %q", vm, got, requestID)
	}
	if refused := refusalError(vm, resp.StatusCode, resp.Header); refused != nil {
		return nil, refused
	}
	body, err := readResponseBody(resp, c.options.MaxResponseBytes)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.OutcomeUnknown, "", "the answer of VM %q is not complete", vm)
	}
	return &api.ExecutorAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// onceReader hides the concrete type of a reader, so that net/http cannot set
// GetBody, which would allow it to resend the body.
type onceReader struct{ io.Reader }
