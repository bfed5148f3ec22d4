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
	Deadline    time.Time // zero for the deadline of the queue
}

// Answer is the response of an upstream to a short request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Send sends a short request. An answer with any status is a success of the
// call; an error means that endivehill gave the response.
func (c *Client) Send(ctx context.Context, r Request) (Answer, error) {
	queue, err := segment("queue", r.Queue)
	if err != nil {
		return Answer{}, err
	}
	k := call{
		method: http.MethodPost,
		path:   "v1/queues/" + queue + "/requests",
		body:   r.Body,
		header: map[string]string{"Request-Id": r.ID},
	}
	if r.ContentType != "" {
		k.header["Content-Type"] = r.ContentType
	}
	if !r.Deadline.IsZero() {
		k.header["Request-Deadline"] = r.Deadline.UTC().Format(time.RFC3339Nano)
	}
	resp, err := c.do(ctx, k)
	if err != nil {
		return Answer{}, err
	}
	if err := apiError(resp); err != nil {
		return Answer{}, err
	}
	return Answer{Status: resp.status, ContentType: resp.header.Get("Content-Type"), Body: resp.body}, nil
}

// segment returns a name as one segment of a path. A segment of dots would
// address another object.
func segment(field, name string) (string, error) {
	if name == "" || name == "." || name == ".." {
		return "", errkind.New(errkind.InvalidArgument, field, "value %q is not a name", name)
	}
	return url.PathEscape(name), nil
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (api.ConfigView, error) {
	var out api.ConfigView
	err := c.roundTrip(ctx, call{method: http.MethodGet, path: "v1/config"}, nil, &out)
	return out, err
}

// ConfigVersion returns one version of the configuration.
func (c *Client) ConfigVersion(ctx context.Context, version int) (api.ConfigView, error) {
	var out api.ConfigView
	path := "v1/config/versions/" + strconv.Itoa(version)
	err := c.roundTrip(ctx, call{method: http.MethodGet, path: path}, nil, &out)
	return out, err
}

// Plan returns what an apply would change.
func (c *Client) Plan(ctx context.Context, in api.ConfigApply) (api.Plan, error) {
	var out api.Plan
	err := c.roundTrip(ctx, call{method: http.MethodPost, path: "v1/config/plan"}, in, &out)
	return out, err
}

// Apply makes a configuration the one in force.
func (c *Client) Apply(ctx context.Context, in api.ConfigApply) (api.Applied, error) {
	var out api.Applied
	err := c.roundTrip(ctx, call{method: http.MethodPost, path: "v1/config"}, in, &out)
	return out, confirmed(err, out.Confirmed, out.UnconfirmedNodes)
}

// Keys returns all keys.
func (c *Client) Keys(ctx context.Context) (api.KeyList, error) {
	var out api.KeyList
	err := c.roundTrip(ctx, call{method: http.MethodGet, path: "v1/keys"}, nil, &out)
	return out, err
}

// GrantKey makes a new key. The key is returned even if the error is of kind
// unconfirmed.
func (c *Client) GrantKey(ctx context.Context, in api.KeyGrant) (api.KeyGranted, error) {
	var out api.KeyGranted
	err := c.roundTrip(ctx, call{method: http.MethodPost, path: "v1/keys"}, in, &out)
	return out, confirmed(err, out.Confirmed, out.UnconfirmedNodes)
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, id string) (api.Applied, error) {
	var out api.Applied
	id, err := segment("key", id)
	if err != nil {
		return out, err
	}
	err = c.roundTrip(ctx, call{method: http.MethodDelete, path: "v1/keys/" + id}, nil, &out)
	return out, confirmed(err, out.Confirmed, out.UnconfirmedNodes)
}

// confirmed turns a change that not every node confirmed into an error.
func confirmed(err error, ok bool, nodes []string) error {
	if err != nil || ok {
		return err
	}
	return errkind.New(errkind.Unconfirmed, "", "the change is committed; not confirmed yet by %s", strings.Join(nodes, ", "))
}

// teamQuery names a team for an operator key; a caller key implies its own.
type teamQuery struct {
	Team string `url:"team,omitempty"`
}

// JobQuery selects jobs of a list.
type JobQuery struct {
	Team  string `url:"team,omitempty"`
	State string `url:"state,omitempty"`
	After string `url:"after,omitempty"`
	Limit int    `url:"limit,omitempty"`
}

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, in api.JobSubmission) (api.JobRow, error) {
	var out api.JobRow
	err := c.roundTrip(ctx, call{method: http.MethodPost, path: "v1/jobs"}, in, &out)
	return out, err
}

// Jobs returns a page of jobs.
func (c *Client) Jobs(ctx context.Context, q JobQuery) (api.JobList, error) {
	var out api.JobList
	err := c.roundTrip(ctx, call{method: http.MethodGet, path: "v1/jobs", query: q}, nil, &out)
	return out, err
}

// Job returns a job. The team may be empty for a caller key.
func (c *Client) Job(ctx context.Context, team, id string) (api.JobRow, error) {
	return c.job(ctx, http.MethodGet, team, id)
}

// CancelJob cancels a job. The team may be empty for a caller key.
func (c *Client) CancelJob(ctx context.Context, team, id string) (api.JobRow, error) {
	return c.job(ctx, http.MethodDelete, team, id)
}

func (c *Client) job(ctx context.Context, method, team, id string) (api.JobRow, error) {
	var out api.JobRow
	id, err := segment("id", id)
	if err != nil {
		return out, err
	}
	k := call{method: method, path: "v1/jobs/" + id, query: teamQuery{Team: team}}
	err = c.roundTrip(ctx, k, nil, &out)
	return out, err
}

// State returns the state of the node that responds, as JSON.
func (c *Client) State(ctx context.Context) (json.RawMessage, error) {
	var out json.RawMessage
	err := c.roundTrip(ctx, call{method: http.MethodGet, path: "v1/state"}, nil, &out)
	return out, err
}
