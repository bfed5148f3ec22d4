package cellnode

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"io"
	"net/http"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// Bounds of a call of POST /explain.
const (
	maxExplainBytes = 256 << 10 // of the body
	explainTimeout  = 2 * time.Second
)

// explainHandler answers POST /explain: where the tasks of the work in the body would be placed
// now. It asks the owner of the cell.
type explainHandler struct {
	view  func() (election.View, <-chan struct{})
	local func(ctx context.Context, in *api.ExplainCall) (*api.ExplainAnswer, error) // if this node owns the cell
	peers wire.Caller
}

func (n *Node) newExplainHandler() http.Handler {
	return &explainHandler{view: n.election.View, local: n.owner.Explain, peers: n.peerClient}
}

// ServeHTTP answers a call.
func (h *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := h.answer(w, r)
	if err != nil {
		writeExplainError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (h *explainHandler) answer(w http.ResponseWriter, r *http.Request) (*api.ExplainAnswer, error) {
	var in api.ExplainCall
	if err := readWork(http.MaxBytesReader(w, r.Body, maxExplainBytes), &in.Work); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	out, err := h.askOwner(ctx, &in)
	return out, lostCallError(err)
}

// readWork reads a work as JSON and checks it.
func readWork(body io.Reader, out *api.WorkSpec) error {
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case stderrors.As(err, &tooLarge):
		return errkind.New(errkind.BodyTooLarge, "body", "the body is larger than %d bytes", tooLarge.Limit)
	case err != nil:
		return errkind.Wrap(err, errkind.InvalidArgument, "body", "the body was not received completely")
	}
	if err := document.Decode(data, "WorkSpec", out); err != nil {
		return err
	}
	return work.Validate(out)
}

// askOwner passes a call to the owner of the cell.
func (h *explainHandler) askOwner(ctx context.Context, in *api.ExplainCall) (*api.ExplainAnswer, error) {
	v, _ := h.view()
	switch {
	case v.Self:
		return h.local(ctx, in)
	case v.Address == "":
		return nil, errkind.New(errkind.OwnerUnavailable, "", "the cell has no owner at present")
	}
	out := &api.ExplainAnswer{}
	if err := h.peers.Call(ctx, v.Address, api.MethodExplain, in, out); err != nil {
		return nil, err
	}
	return out, nil
}

// lostCallError returns err, or that the owner is unavailable if the call was lost. It has
// changed nothing, so its outcome is not unknown.
func lostCallError(err error) error {
	if err == nil {
		return nil
	}
	switch errkind.From(err).Kind {
	case errkind.OutcomeUnknown, errkind.Canceled, errkind.DeadlineExceeded:
		return errkind.Wrap(err, errkind.OwnerUnavailable, "", "the owner of the cell did not answer")
	}
	return err
}

// writeExplainError answers with the error body of the API.
func writeExplainError(w http.ResponseWriter, err error) {
	body := api.ErrorBody{Error: document.Errors{errkind.From(err)}.Details()[0]}
	var several document.Errors
	if stderrors.As(err, &several) && len(several) > 0 {
		body.Errors = several.Details()
		body.Error = body.Errors[0]
	}
	writeJSON(w, errkind.ResponseOf(errkind.From(err).Kind).Status, &body)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return // the client closed the connection
	}
}
