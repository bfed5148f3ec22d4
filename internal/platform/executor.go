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
	// ConnsPerExecutor is the most connections to one executor. An executor
	// accepts 64, so several owners during handovers stay below that.
	ConnsPerExecutor = 16

	defaultExecuteTimeout       = 15 * time.Minute
	defaultMaxAnswerBytes int64 = 4 << 20
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

// CloseIdleConnections closes the connections that carry no call.
func (c *ExecutorClient) CloseIdleConnections() { c.pool.closeIdle() }

// Fence raises the epoch at an executor and returns its state.
func (c *ExecutorClient) Fence(ctx context.Context, vm api.VM, partition string, epoch int64) (*api.ExecutorStatus, error) {
	client, release := c.pool.acquire(vm.ExecutorAddress)
	defer release()
	in := &api.ExecutorFence{Partition: partition, Epoch: int(epoch)}
	req := sling.New().Post(baseURL(vm.ExecutorAddress, c.options.TLS) + PathFence).BodyJSON(in)
	out := new(api.ExecutorStatus)
	if err := callUpstream(ctx, client, c.options.Timeout, vm.Id, req, out); err != nil {
		return nil, err
	}
	if out.Vm != vm.Id {
		return nil, errkind.New(errkind.OutcomeUnknown, "", "VM %q answered for VM %q", out.Vm, vm.Id)
	}
	return out, nil
}

// Execute sends a request to an executor once and returns its whole answer. The
// outcome of the error is not_run only if no byte of the request was written or
// the executor itself answered that it did not take it.
func (c *ExecutorClient) Execute(ctx context.Context, vm api.VM, in *api.ExecutorCall) (*api.ExecutorAnswer, error) {
	client, release := c.pool.acquire(vm.ExecutorAddress)
	defer release()
	bounded, cancel := context.WithTimeout(ctx, c.options.ExecuteTimeout)
	defer cancel()
	var d delivery
	req, err := c.executeRequest(d.context(bounded), vm, in)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidArgument, "", "the request to VM %q cannot be built", vm.Id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, failedCall(ctx, vm.Id, d.sent(), err)
	}
	defer resp.Body.Close()
	out, err := c.executeAnswer(vm.Id, in.RequestId, resp)
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

// executeAnswer reads an answer. It trusts nothing in it, a refusal included,
// unless it names the request: on a reused connection it could belong to
// another one.
func (c *ExecutorClient) executeAnswer(vm, requestID string, resp *http.Response) (*api.ExecutorAnswer, error) {
	if got := resp.Header.Get(HeaderRequestID); got != requestID {
		return nil, errkind.New(errkind.OutcomeUnknown, "", "VM %q answered request %q instead of %q", vm, got, requestID)
	}
	if refused := refusedCall(vm, resp.StatusCode, resp.Header); refused != nil {
		return nil, refused
	}
	body, err := readAnswer(resp, c.options.MaxAnswerBytes)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.OutcomeUnknown, "", "the answer of VM %q is not complete", vm)
	}
	return &api.ExecutorAnswer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// onceReader hides the concrete type of a reader, from which net/http would
// derive GetBody.
type onceReader struct{ io.Reader }
