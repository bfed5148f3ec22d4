package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/platform"
)

// Keys and key prefixes of rows in the table service.
const (
	headKey      = "head"
	configPrefix = "config/"
	keyPrefix    = "key/"
)

// configKey returns the key of a version of the configuration.
func configKey(version int) string { return fmt.Sprintf("%s%012d", configPrefix, version) }

// Refresh reads the head and installs the state that is newer than the state in force.
func (r *Registry) Refresh(ctx context.Context) error {
	if err := r.refreshLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer r.refreshLock.Release(1)
	sent := r.options.Clock.Boot()
	_, head, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	if own := r.Head(); behind(head, own) {
		event.HeadDecreased.Log(r.options.Logger, "config_version", head.ConfigVersion, "key_revision", head.KeyRevision)
	}
	if err := r.loadNewer(ctx, head); err != nil {
		event.RegistryRowInvalid.Log(r.options.Logger, "err", err)
		r.recordCurrent(head, sent, true)
		return err
	}
	r.recordCurrent(head, sent, true)
	return nil
}

// readHead reads the head row; its version is 0 before the first change.
func (r *Registry) readHead(ctx context.Context) (int64, api.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var head api.Head
	row, err := r.options.Table.Get(ctx, headKey)
	if err != nil {
		return 0, head, errors.Wrap(err, "read head")
	}
	if row.Version != 0 {
		if _, err := head.UnmarshalMsg(row.Value); err != nil {
			return 0, head, errors.Wrap(err, "decode head")
		}
	}
	return row.Version, head, nil
}

// loadNewer reads and installs the state up to head that is not in force yet.
func (r *Registry) loadNewer(ctx context.Context, head api.Head) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	own := r.Head()
	var config []api.ConfigRow
	if head.ConfigVersion > own.ConfigVersion {
		row, err := r.ReadConfig(ctx, head.ConfigVersion)
		if err != nil {
			return err
		}
		config = append(config, *row)
	}
	var keys []api.Key
	if head.KeyRevision > own.KeyRevision {
		var err error
		if keys, err = r.scanKeys(ctx); err != nil {
			return err
		}
	}
	return r.install(head, config, keys, 0)
}

// ReadConfig reads one version of the configuration.
func (r *Registry) ReadConfig(ctx context.Context, version int) (*api.ConfigRow, error) {
	row, err := r.options.Table.Get(ctx, configKey(version))
	if err != nil {
		return nil, storeError(err, "read configuration %d", version)
	}
	if row.Version == 0 {
		return nil, notFound("configuration version %d does not exist", version)
	}
	var out api.ConfigRow
	if _, err := out.UnmarshalMsg(row.Value); err != nil {
		return nil, errors.Wrapf(err, "decode row %q", row.Key)
	}
	return &out, nil
}

func (r *Registry) scanKeys(ctx context.Context) ([]api.Key, error) {
	rows, err := platform.ScanAll(ctx, r.options.Table, keyPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read keys")
	}
	out := make([]api.Key, 0, len(rows))
	for _, row := range rows {
		k, err := decodeKey(row)
		if err != nil {
			return nil, err
		}
		out = append(out, k)
	}
	return out, nil
}

func decodeKey(row platform.Row) (api.Key, error) {
	var k api.Key
	_, err := k.UnmarshalMsg(row.Value)
	return k, errors.Wrapf(err, "decode row %q", row.Key)
}

// install puts newer state in force. keys must contain every key changed after
// keysSince. Versions never decrease: older parts are ignored.
func (r *Registry) install(head api.Head, config []api.ConfigRow, keys []api.Key, keysSince int) error {
	changed, err := r.installNewer(head, config, keys, keysSince)
	if changed {
		r.notifyChange()
	}
	return err
}

// notifyChange calls OnChange, one call at a time. Each call reads the newest state, so
// the last call always passes the state in force.
func (r *Registry) notifyChange() {
	r.notifyLock.Lock()
	defer r.notifyLock.Unlock()
	r.options.OnChange(r.Snapshot())
}

// installNewer installs the parts of the state that are newer than those in force and
// reports whether there were any.
func (r *Registry) installNewer(head api.Head, config []api.ConfigRow, keys []api.Key, keysSince int) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.snapshot.Load()
	nextHead := r.head
	nextConfig := r.configRow
	if c := findConfig(config, head.ConfigVersion); c != nil && c.Version > nextHead.ConfigVersion {
		doc := &api.Configuration{}
		if err := json.Unmarshal([]byte(c.Document), doc); err != nil {
			return false, errors.Wrapf(err, "decode configuration %d", c.Version)
		}
		next.Config = doc
		nextConfig = *c
		nextHead.ConfigVersion = c.Version
	}
	if head.KeyRevision > nextHead.KeyRevision && keysSince <= nextHead.KeyRevision {
		next.Keys = mergeKeys(next.Keys, keys)
		nextHead.KeyRevision = head.KeyRevision
	}
	if nextHead == r.head {
		return false, nil
	}
	next.ConfigVersion = int64(nextHead.ConfigVersion)
	next.KeyRevision = int64(nextHead.KeyRevision)
	r.head, r.configRow = nextHead, nextConfig
	r.installedAt = r.options.Clock.Boot()
	r.snapshot.Store(&next)
	event.RegistryInstalled.Log(r.options.Logger, "config_version", next.ConfigVersion, "key_revision", next.KeyRevision)
	return true, nil
}

// findConfig returns the row of the given version, or nil if rows lacks it.
func findConfig(rows []api.ConfigRow, version int) *api.ConfigRow {
	for i := range rows {
		if rows[i].Version == version {
			return &rows[i]
		}
	}
	return nil
}

// mergeKeys returns keys with changes applied. Of each key the newest revision is kept.
func mergeKeys(keys map[string]api.Key, changes []api.Key) map[string]api.Key {
	out := maps.Clone(keys)
	for _, k := range changes {
		if old, ok := out[k.Id]; !ok || k.Revision > old.Revision {
			out[k.Id] = k
		}
	}
	return out
}
