package node

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/registry"
)

const viewTimeout = 3 * time.Second // for reading an earlier version

// control carries out the operators' calls on configuration and keys.
type control struct{ registry *registry.Registry }

// Apply makes a configuration the one in force.
func (c control) Apply(ctx context.Context, base int, document api.Configuration, author string) (api.Applied, error) {
	if err := config.Check(document); err != nil {
		return api.Applied{}, err
	}
	result, err := c.registry.Apply(ctx, base, &document, author)
	if err != nil {
		return api.Applied{}, err
	}
	return applied(result), nil
}

func applied(r *registry.Result) api.Applied {
	return api.Applied{Version: r.Version, Confirmed: r.Confirmed, UnconfirmedNodes: orEmpty(r.Unconfirmed)}
}

// orEmpty keeps null out of JSON lists.
func orEmpty(names []string) []string {
	if names == nil {
		return []string{}
	}
	return names
}

// Plan returns what an apply would change.
func (c control) Plan(_ context.Context, base int, document api.Configuration) (api.Plan, error) {
	if err := config.Check(document); err != nil {
		return api.Plan{}, err
	}
	if err := c.registry.CheckBase(base); err != nil {
		return api.Plan{}, err
	}
	now := c.registry.Snapshot()
	return api.Plan{BaseVersion: int(now.ConfigVersion), Changes: config.Diff(*now.Config, document)}, nil
}

// View returns one version of the configuration; 0 stands for the one in force.
func (c control) View(version int) (api.ConfigView, error) {
	now := c.registry.Snapshot()
	if version == 0 || version == int(now.ConfigVersion) {
		return api.ConfigView{Version: int(now.ConfigVersion), Document: *now.Config}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
	defer cancel()
	row, err := c.registry.ConfigVersion(ctx, version)
	if err != nil {
		return api.ConfigView{}, err
	}
	document, err := config.Decode([]byte(row.Document))
	if err != nil {
		return api.ConfigView{}, errkind.Wrap(err, errkind.Internal, "", "version %d is stored malformed", version)
	}
	return api.ConfigView{Version: row.Version, Document: document}, nil
}

// Grant makes a key.
func (c control) Grant(ctx context.Context, in api.KeyGrant) (api.KeyGranted, error) {
	if err := c.checkGrant(in); err != nil {
		return api.KeyGranted{}, err
	}
	key, secret, result, err := c.registry.Grant(ctx, in.Role, in.Team)
	if err != nil {
		return api.KeyGranted{}, err
	}
	key.SecretSha256 = ""
	return api.KeyGranted{Key: key, Secret: secret, Confirmed: result.Confirmed, UnconfirmedNodes: orEmpty(result.Unconfirmed)}, nil
}

func (c control) checkGrant(in api.KeyGrant) error {
	if in.Role == api.RoleOperator {
		if in.Team != "" {
			return errkind.New(errkind.InvalidArgument, "team", "an operator key belongs to no team")
		}
		return nil
	}
	for _, t := range c.registry.Snapshot().Config.Teams {
		if t.Name == in.Team {
			return nil
		}
	}
	return errkind.New(errkind.InvalidArgument, "team", "team %q is not in the configuration", in.Team)
}

// Withdraw makes a key invalid.
func (c control) Withdraw(ctx context.Context, id string) (api.Applied, error) {
	result, err := c.registry.Withdraw(ctx, id)
	if err != nil {
		return api.Applied{}, err
	}
	return applied(result), nil
}

// ListKeys returns all keys without their hashes.
func (c control) ListKeys() api.KeyList { return api.KeyList{Keys: c.registry.List()} }
