package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Request is a short request.
type Request struct {
	Queue       string
	ID          string
	ContentType string
	Body        []byte
	Deadline    time.Time // zero means the deadline of the queue
}

// UpstreamResponse is the response of the upstream to a short request.
type UpstreamResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Send sends a short request and returns the response of the upstream, whatever its
// status. It returns an error if endivehill itself rejected or failed the request, or if
// no complete response arrived.
func (c *Client) Send(ctx context.Context, r Request) (UpstreamResponse, error) {
	queue, err := pathSegment("queue", r.Queue)
	if err != nil {
		return UpstreamResponse{}, err
	}
	call := apiCall{
		method: http.MethodPost,
		path:   "v1/queues/" + queue + "/requests",
		body:   r.Body,
		header: map[string]string{"Request-Id": r.ID},
	}
	if r.ContentType != "" {
		call.header["Content-Type"] = r.ContentType
	}
	if !r.Deadline.IsZero() {
		call.header["Request-Deadline"] = r.Deadline.UTC().Format(time.RFC3339Nano)
	}
	resp, err := c.send(ctx, call)
	if err != nil {
		return UpstreamResponse{}, err
	}
	if err := apiError(resp); err != nil {
		return UpstreamResponse{}, err
	}
	return UpstreamResponse{Status: resp.status, ContentType: resp.header.Get("Content-Type"), Body: resp.body}, nil
}

// pathSegment returns a name escaped as one path segment. The names "." and ".." are
// rejected: as a path segment they would address another object.
func pathSegment(field, name string) (string, error) {
	if name == "" || name == "." || name == ".." {
		return "", errkind.New(errkind.InvalidArgument, field, "value %q is not a name", name)
	}
	return url.PathEscape(name), nil
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (api.ConfigView, error) {
	var out api.ConfigView
	err := c.roundTrip(ctx, apiCall{method: http.MethodGet, path: "v1/config"}, nil, &out)
	return out, err
}

// ConfigVersion returns the given version of the configuration.
func (c *Client) ConfigVersion(ctx context.Context, version int) (api.ConfigView, error) {
	var out api.ConfigView
	path := "v1/config/versions/" + strconv.Itoa(version)
	err := c.roundTrip(ctx, apiCall{method: http.MethodGet, path: path}, nil, &out)
	return out, err
}

// Plan returns the changes that Apply would make.
func (c *Client) Plan(ctx context.Context, in api.ConfigApply) (api.Plan, error) {
	var out api.Plan
	err := c.roundTrip(ctx, apiCall{method: http.MethodPost, path: "v1/config/plan"}, in, &out)
	return out, err
}

// Apply applies a configuration to the cell.
func (c *Client) Apply(ctx context.Context, in api.ConfigApply) (api.Applied, error) {
	var out api.Applied
	err := c.roundTrip(ctx, apiCall{method: http.MethodPost, path: "v1/config"}, in, &out)
	return out, checkConfirmed(err, out.Confirmed, out.UnconfirmedNodes)
}

// Keys returns all keys.
func (c *Client) Keys(ctx context.Context) (api.KeyList, error) {
	var out api.KeyList
	err := c.roundTrip(ctx, apiCall{method: http.MethodGet, path: "v1/keys"}, nil, &out)
	return out, err
}

// GrantKey creates a key. It returns the key also with an error of kind unconfirmed.
func (c *Client) GrantKey(ctx context.Context, in api.KeyGrant) (api.KeyGranted, error) {
	var out api.KeyGranted
	err := c.roundTrip(ctx, apiCall{method: http.MethodPost, path: "v1/keys"}, in, &out)
	return out, checkConfirmed(err, out.Confirmed, out.UnconfirmedNodes)
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, id string) (api.Applied, error) {
	var out api.Applied
	id, err := pathSegment("key", id)
	if err != nil {
		return out, err
	}
	err = c.roundTrip(ctx, apiCall{method: http.MethodDelete, path: "v1/keys/" + id}, nil, &out)
	return out, checkConfirmed(err, out.Confirmed, out.UnconfirmedNodes)
}

// checkConfirmed returns an error of kind unconfirmed if not every node has confirmed
// a change, and err if it is not nil.
func checkConfirmed(err error, ok bool, nodes []string) error {
	if err != nil || ok {
		return err
	}
	return errkind.New(errkind.Unconfirmed, "", "the change is committed but not yet confirmed by %s", strings.Join(nodes, ", "))
}

// teamQuery gives the team of a call with an operator key; a caller key belongs to a
// team.
type teamQuery struct {
	Team string `url:"team,omitempty"`
}

// JobQuery selects the jobs of a page.
type JobQuery struct {
	Team  string `url:"team,omitempty"`
	State string `url:"state,omitempty"`
	After string `url:"after,omitempty"`
	Limit int    `url:"limit,omitempty"`
}

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, in api.JobSubmission) (api.JobRow, error) {
	var out api.JobRow
	err := c.roundTrip(ctx, apiCall{method: http.MethodPost, path: "v1/jobs"}, in, &out)
	return out, err
}

// Jobs returns a page of jobs.
func (c *Client) Jobs(ctx context.Context, q JobQuery) (api.JobList, error) {
	var out api.JobList
	err := c.roundTrip(ctx, apiCall{method: http.MethodGet, path: "v1/jobs", query: q}, nil, &out)
	return out, err
}

// Job returns a job. The team may be empty with a caller key.
func (c *Client) Job(ctx context.Context, team, id string) (api.JobRow, error) {
	return c.job(ctx, http.MethodGet, team, id)
}

// CancelJob cancels a job. The team may be empty with a caller key.
func (c *Client) CancelJob(ctx context.Context, team, id string) (api.JobRow, error) {
	return c.job(ctx, http.MethodDelete, team, id)
}

func (c *Client) job(ctx context.Context, method, team, id string) (api.JobRow, error) {
	var out api.JobRow
	id, err := pathSegment("id", id)
	if err != nil {
		return out, err
	}
	call := apiCall{method: method, path: "v1/jobs/" + id, query: teamQuery{Team: team}}
	err = c.roundTrip(ctx, call, nil, &out)
	return out, err
}

// State returns the state dump of the responding node as JSON.
func (c *Client) State(ctx context.Context) (json.RawMessage, error) {
	var out json.RawMessage
	err := c.roundTrip(ctx, apiCall{method: http.MethodGet, path: "v1/state"}, nil, &out)
	return out, err
}
