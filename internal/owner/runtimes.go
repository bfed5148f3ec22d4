package owner

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/runtimes"
)

// The learned run times are one row, next to the records. It is written together with a commit,
// so only the owner of the cell writes it. An owner without the row learns anew.
const (
	tableRunTimes = "runtimes" // api.RunTimeRow
	keyRunTimes   = "all"
)

// runTimesInterval is the time between two writes of the learned run times.
const runTimesInterval = 5 * time.Second

// savedRunTimes tells what the table service has of the learned run times.
type savedRunTimes struct {
	at       time.Duration // when they were last written
	samples  uint64        // of the model then
	disabled bool          // a commit with the row was rejected, and the row may be the cause
}

// addRunTimes adds the learned run times to a transaction if they are due to be written.
func (t *tenure) addRunTimes(tx *rows.Tx, now time.Duration) error {
	model, saved := t.cell.RunTimes(), &t.savedRunTimes
	if saved.disabled || now-saved.at < runTimesInterval || model.Samples() == saved.samples {
		return nil
	}
	if limit := t.options.Settings.MaxRowBytes; limit != 0 && limit < runtimes.MaxRowBytes {
		return nil
	}
	saved.at, saved.samples = now, model.Samples()
	return appendPut(tx, tableRunTimes, keyRunTimes, model.Row(now, t.options.Clock.Now().UnixMilli()))
}

// readRunTimes returns the learned run times of earlier owners, a model without samples if they
// can't be read.
func (t *tenure) readRunTimes(ctx context.Context) *runtimes.Model {
	row, err := t.readRunTimeRow(ctx)
	model, dropped := runtimes.Load(row, t.options.Clock.Boot(), t.options.Clock.Now().UnixMilli())
	switch {
	case err != nil:
		event.RunTimesUnreadable.Log(t.options.Logger, "err", err)
	case row != nil:
		event.RunTimesLoaded.Log(t.options.Logger, "groups", model.Groups(), "invalid", dropped)
	}
	return model
}

// readRunTimeRow returns the stored row, nil if there is none.
func (t *tenure) readRunTimeRow(ctx context.Context) (*api.RunTimeRow, error) {
	list, _, err := rows.All(ctx, pageTimeoutStore{t.options.Store}, tableRunTimes, election.Part)
	if err != nil {
		return nil, err
	}
	for _, r := range list {
		if r.Key != keyRunTimes {
			continue
		}
		var row api.RunTimeRow
		if _, err := row.UnmarshalMsg(r.Value); err != nil {
			return nil, err
		}
		return &row, nil
	}
	return nil, nil
}
