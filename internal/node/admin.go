package node

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/registry"
)

const configReadTimeout = 3 * time.Second // for a read of an earlier configuration version

// adminAPI implements the calls of operators on the configuration and the keys.
type adminAPI struct{ registry *registry.Registry }

// Apply puts a configuration in force.
func (a adminAPI) Apply(ctx context.Context, base int, document api.Configuration, author string) (api.Applied, error) {
	if err := config.CheckConfiguration(document); err != nil {
		return api.Applied{}, err
	}
	result, err := a.registry.Apply(ctx, base, &document, author)
	if err != nil {
		return api.Applied{}, err
	}
	return applied(result), nil
}

func applied(r *registry.Result) api.Applied {
	return api.Applied{Version: r.Version, Confirmed: r.Confirmed, UnconfirmedNodes: orEmpty(r.Unconfirmed)}
}

// orEmpty returns an empty list for nil, which JSON would encode as null.
func orEmpty(names []string) []string {
	if names == nil {
		return []string{}
	}
	return names
}

// Plan returns the changes that an apply of document would make.
func (a adminAPI) Plan(_ context.Context, base int, document api.Configuration) (api.Plan, error) {
	if err := config.CheckConfiguration(document); err != nil {
		return api.Plan{}, err
	}
	if err := a.registry.CheckBase(base); err != nil {
		return api.Plan{}, err
	}
	current := a.registry.Snapshot()
	return api.Plan{BaseVersion: int(current.ConfigVersion), Changes: config.Diff(*current.Config, document)}, nil
}

// View returns a version of the configuration; 0 stands for the version in force.
func (a adminAPI) View(version int) (api.ConfigView, error) {
	current := a.registry.Snapshot()
	if version == 0 || version == int(current.ConfigVersion) {
		return api.ConfigView{Version: int(current.ConfigVersion), Document: *current.Config}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), configReadTimeout)
	defer cancel()
	row, err := a.registry.ReadConfig(ctx, version)
	if err != nil {
		return api.ConfigView{}, err
	}
	document, err := config.DecodeConfiguration([]byte(row.Document))
	if err != nil {
		return api.ConfigView{}, errkind.Wrap(err, errkind.Internal, "", "configuration version %d cannot be decoded", version)
	}
	return api.ConfigView{Version: row.Version, Document: document}, nil
}

// Grant creates a key.
func (a adminAPI) Grant(ctx context.Context, in api.KeyGrant) (api.KeyGranted, error) {
	if err := a.checkGrant(in); err != nil {
		return api.KeyGranted{}, err
	}
	key, secret, result, err := a.registry.Grant(ctx, in.Role, in.Team)
	if err != nil {
		return api.KeyGranted{}, err
	}
	key.SecretSha256 = ""
	return api.KeyGranted{Key: key, Secret: secret, Confirmed: result.Confirmed, UnconfirmedNodes: orEmpty(result.Unconfirmed)}, nil
}

func (a adminAPI) checkGrant(in api.KeyGrant) error {
	if in.Role == api.RoleOperator {
		if in.Team != "" {
			return errkind.New(errkind.InvalidArgument, "team", "an operator key belongs to no team")
		}
		return nil
	}
	for _, t := range a.registry.Snapshot().Config.Teams {
		if t.Name == in.Team {
			return nil
		}
	}
	return errkind.New(errkind.InvalidArgument, "team", "team %q is not in the configuration", in.Team)
}

// Withdraw invalidates a key.
func (a adminAPI) Withdraw(ctx context.Context, id string) (api.Applied, error) {
	result, err := a.registry.Withdraw(ctx, id)
	if err != nil {
		return api.Applied{}, err
	}
	return applied(result), nil
}

// ListKeys returns all keys without their hashes.
func (a adminAPI) ListKeys() api.KeyList { return api.KeyList{Keys: a.registry.ListKeys()} }
