package owner

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// Explain tells where the tasks of a work would be placed now. It changes nothing, and fails at
// once if this node does not own the cell or its records are being loaded.
func (o *Owner) Explain(ctx context.Context, in *api.ExplainCall) (*api.ExplainAnswer, error) {
	if err := work.Validate(&in.Work); err != nil {
		return nil, err
	}
	if t := o.currentTenure.Load(); t != nil && !t.hasLoaded() {
		return nil, errkind.New(errkind.OwnerUnavailable, "", "the records of the cell are being loaded")
	}
	t, err := o.loadedTenure(ctx)
	if err != nil {
		return nil, err
	}
	out, err := callCore(ctx, t, errkind.OwnerUnavailable, func(reply func(*api.ExplainAnswer, error)) {
		reply(t.cell.Explain(&in.Work))
	})
	if err != nil {
		return nil, err
	}
	out.Owner = o.options.Settings.Node
	return out, nil
}

// hasLoaded reports whether the records of the tenure are loaded.
func (t *tenure) hasLoaded() bool {
	select {
	case <-t.loaded:
		return true
	default:
		return false
	}
}

// handleExplain handles an ExplainCall of another node.
func (o *Owner) handleExplain(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
	var in api.ExplainCall
	if err := wire.Decode(payload, &in); err != nil {
		return nil, err
	}
	return o.Explain(ctx, &in)
}
