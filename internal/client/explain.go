package client

import (
	"context"
	"net/http"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Explain tells where the tasks of a work would be placed now. The addresses of the client are
// the metrics addresses of nodes of a cell. The call changes nothing, so a lost one may be
// repeated.
func (c *Client) Explain(ctx context.Context, in *api.WorkSpec) (*api.ExplainAnswer, error) {
	out := &api.ExplainAnswer{}
	err := c.roundTrip(ctx, apiCall{method: http.MethodPost, path: "explain"}, in, out)
	if errkind.Is(err, errkind.OutcomeUnknown) {
		return nil, errkind.Wrap(err, errkind.OwnerUnavailable, "", "the node did not answer")
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}
