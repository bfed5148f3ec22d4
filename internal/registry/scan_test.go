package registry

import (
	"context"
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

// shortPages is a table service whose pages reach their size in bytes with one row.
type shortPages struct{ *standin.Table }

func (s shortPages) Scan(ctx context.Context, prefix, after string, _ int) ([]platform.Row, error) {
	return s.Table.Scan(ctx, prefix, after, 1)
}

// TestKeysOnLaterPages guards against a node that accepts a withdrawn key, or does not know
// a granted one, because a page with fewer rows than asked for counts as the last one.
func TestKeysOnLaterPages(t *testing.T) {
	ctx := context.Background()
	table := standin.NewTable()
	writer, known, fresh := newTestRegistry(t, table), newTestRegistry(t, table), newTestRegistry(t, table)
	ids, secrets := make([]string, 3), make([]string, 3)
	for i := range ids {
		k, secret, _, err := writer.Grant(ctx, api.RoleCaller, "gallery")
		if err != nil {
			t.Fatal(err)
		}
		ids[i], secrets[i] = k.Id, secret
	}
	refresh(t, known)
	known.options.Table, fresh.options.Table = shortPages{table}, shortPages{table}
	refresh(t, fresh)
	for i, secret := range secrets {
		if _, err := fresh.Authenticate(secret); err != nil {
			t.Errorf("granted key %d: %v", i, err)
		}
	}
	for i, id := range ids {
		if _, err := writer.Withdraw(ctx, id); err != nil {
			t.Fatal(err)
		}
		refresh(t, known)
		if _, err := known.Authenticate(secrets[i]); err == nil {
			t.Errorf("withdrawn key %d is accepted", i)
		}
	}
}

func refresh(t *testing.T, r *Registry) {
	t.Helper()
	if err := r.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
}
