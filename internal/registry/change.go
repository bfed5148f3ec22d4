package registry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/platform"
)

// Result is the outcome of a committed change.
type Result struct {
	Version     int      // configuration version or key revision of the change
	Confirmed   bool     // whether no node can serve a state without it
	Unconfirmed []string // nodes that may, sorted
}

// CheckBase returns version_conflict unless base is the version in force, for
// plans and as a first check of changes.
func (r *Registry) CheckBase(base int) error {
	if v := r.Head().ConfigVersion; v != base {
		return versionConflict(base, v)
	}
	return nil
}

func versionConflict(base, current int) error {
	return errkind.New(errkind.VersionConflict, "base_version", "made from version %d; version %d is in force", base, current)
}

// Apply makes document the configuration after version base. A repeated call with
// the document that is in force as base+1 confirms that version again.
func (r *Registry) Apply(ctx context.Context, base int, document *api.Configuration, author string) (*Result, error) {
	text, err := json.Marshal(document)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidArgument, "document", "encode configuration")
	}
	row := api.ConfigRow{
		AppliedUnixMs: int(r.options.Clock.Now().UnixMilli()),
		Author:        author,
		BaseVersion:   base,
		Document:      string(text),
		Stamp:         rand.Text(),
		Version:       base + 1,
	}
	since, err := r.change(ctx, func(ctx context.Context, head api.Head) (*change, error) {
		if head.ConfigVersion != base {
			return r.repeated(ctx, head, &row)
		}
		next := head
		next.ConfigVersion = row.Version
		c, err := newChange(next, configKey(row.Version), 0, &row, row.Stamp)
		if err != nil {
			return nil, err
		}
		c.stampOf = configStamp
		return c, nil
	})
	if err != nil {
		return nil, err
	}
	return r.confirmed(ctx, api.Head{ConfigVersion: row.Version}, since)
}

// repeated accepts an apply whose document is in force already.
func (r *Registry) repeated(ctx context.Context, head api.Head, row *api.ConfigRow) (*change, error) {
	if head.ConfigVersion != row.Version {
		return nil, versionConflict(row.BaseVersion, head.ConfigVersion)
	}
	current, err := r.ConfigVersion(ctx, row.Version)
	if err != nil {
		return nil, err
	}
	if current.Document != row.Document {
		return nil, versionConflict(row.BaseVersion, head.ConfigVersion)
	}
	return nil, nil
}

// Grant makes a key. The secret is returned here and stored nowhere.
func (r *Registry) Grant(ctx context.Context, role api.Role, team string) (api.Key, string, *Result, error) {
	id, secret := newSecret()
	k := api.Key{
		GrantedUnixMs: int(r.options.Clock.Now().UnixMilli()),
		Id:            id,
		Role:          role,
		SecretSha256:  hashSecret(secret),
		Stamp:         rand.Text(),
		Team:          team,
	}
	since, err := r.change(ctx, func(_ context.Context, head api.Head) (*change, error) {
		next := head
		next.KeyRevision++
		k.Revision = next.KeyRevision
		c, err := newChange(next, keyPrefix+id, 0, &k, k.Stamp)
		if err != nil {
			return nil, err
		}
		c.unique = true
		return c, nil
	})
	if err != nil {
		return api.Key{}, "", nil, err
	}
	result, err := r.confirmed(ctx, api.Head{KeyRevision: k.Revision}, since)
	return public(k), secret, result, err
}

// Withdraw makes a key invalid. Withdrawing a withdrawn key confirms that again.
func (r *Registry) Withdraw(ctx context.Context, id string) (*Result, error) {
	stamp := rand.Text()
	var k api.Key
	since, err := r.change(ctx, func(ctx context.Context, head api.Head) (*change, error) {
		row, err := r.options.Table.Get(ctx, keyPrefix+id)
		if err != nil {
			return nil, storeError(err, "read key")
		}
		if row.Version == 0 {
			return nil, notFound("key %q does not exist", id)
		}
		if k, err = decodeKey(row); err != nil {
			return nil, err
		}
		if k.WithdrawnUnixMs != 0 {
			return nil, nil
		}
		next := head
		next.KeyRevision++
		k.Revision = next.KeyRevision
		k.WithdrawnUnixMs = int(r.options.Clock.Now().UnixMilli())
		k.Stamp = stamp
		c, err := newChange(next, row.Key, row.Version, &k, stamp)
		if err != nil {
			return nil, err
		}
		c.stampOf = keyStamp
		return c, nil
	})
	if err != nil {
		return nil, err
	}
	return r.confirmed(ctx, api.Head{KeyRevision: k.Revision}, since)
}

// change is one transaction that writes a row and the head.
type change struct {
	check  platform.Check // of the row
	writes []platform.Write
	stamp  string
	// stampOf returns the stamp of the row.
	stampOf func(value []byte) string
	// unique is set if no other change can create the row, so that its existence
	// proves that this one was applied.
	unique bool
}

// newChange returns the transaction that writes row under key over the given
// version and makes head the head.
func newChange(head api.Head, key string, version int64, row msgp.Marshaler, stamp string) (*change, error) {
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode row")
	}
	head.Stamp = stamp
	headValue, err := head.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	return &change{
		check:  platform.Check{Key: key, Version: version},
		writes: []platform.Write{{Key: key, Value: value}, {Key: headKey, Value: headValue}},
		stamp:  stamp,
	}, nil
}

// prepareFunc returns the transaction for a change of the state of head, nil if
// the change is in force already.
type prepareFunc func(ctx context.Context, head api.Head) (*change, error)

// change commits a change. It returns the boot time after which every read of the
// head shows it.
func (r *Registry) change(ctx context.Context, prepare prepareFunc) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		done, err := r.attempt(ctx, prepare)
		if done {
			return r.options.Clock.Boot(), err
		}
		if !clock.Sleep(ctx, retryDelay) {
			return 0, errkind.Wrap(err, errkind.StoreUnavailable, "", "the change could not be written")
		}
	}
}

// attempt prepares and commits a change once. It returns false with the reason if
// nothing was applied and another attempt may succeed.
func (r *Registry) attempt(ctx context.Context, prepare prepareFunc) (bool, error) {
	version, head, err := r.readHead(ctx)
	if err != nil {
		return false, err
	}
	c, err := prepare(ctx, head)
	if err != nil {
		return !errkind.Is(err, errkind.StoreUnavailable), err
	}
	if c == nil {
		return true, nil
	}
	return r.commit(ctx, c, version)
}

// commit writes a change over the given version of the head. After a lost answer
// it reads back and repeats the same transaction until it is certain: applied if
// the head carries the stamp, not applied once the head has moved on without it.
func (r *Registry) commit(ctx context.Context, c *change, over int64) (bool, error) {
	checks := []platform.Check{{Key: headKey, Version: over}, c.check}
	uncertain := false
	for {
		err := r.send(ctx, checks, c.writes)
		if err == nil {
			return true, nil
		}
		uncertain = uncertain || errors.Is(err, platform.ErrAmbiguous)
		if errors.Is(err, platform.ErrConflict) && !uncertain {
			return false, err
		}
		if errors.Is(err, platform.ErrInvalid) && !uncertain {
			return true, errkind.Wrap(err, errkind.InvalidArgument, "document", "the table service refused the change")
		}
		if !uncertain {
			return false, err
		}
		switch applied, certain := r.inspect(ctx, c, over); {
		case certain && applied:
			return true, nil
		case certain:
			return false, err
		}
		if !clock.Sleep(ctx, retryDelay) {
			return true, errkind.Wrap(err, errkind.OutcomeUnknown, "", "the answer of the table service was lost")
		}
	}
}

func (r *Registry) send(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.options.Table.Commit(ctx, checks, writes)
	return err
}

// inspect finds out what became of a change whose answer was lost.
func (r *Registry) inspect(ctx context.Context, c *change, over int64) (applied, certain bool) {
	version, _, err := r.readHead(ctx)
	if err != nil || version == over {
		return false, false // it may still arrive
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := r.options.Table.Get(ctx, c.check.Key)
	if err != nil {
		return false, false
	}
	return row.Version != 0 && (c.unique || c.stampOf(row.Value) == c.stamp), true
}

// configStamp returns the stamp of a configuration row, which never changes.
func configStamp(value []byte) string {
	var row api.ConfigRow
	if _, err := row.UnmarshalMsg(value); err != nil {
		return ""
	}
	return row.Stamp
}

// keyStamp returns the stamp of a key row, which never changes once the key was
// withdrawn.
func keyStamp(value []byte) string {
	var row api.Key
	if _, err := row.UnmarshalMsg(value); err != nil {
		return ""
	}
	return row.Stamp
}

func storeError(err error, format string, args ...any) error {
	return errkind.Wrap(err, errkind.StoreUnavailable, "", format, args...)
}

func notFound(format string, args ...any) error {
	return errkind.New(errkind.NotFound, "", format, args...)
}
