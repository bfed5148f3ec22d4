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
	Confirmed   bool     // no node can serve a state without the change
	Unconfirmed []string // nodes that may serve a state without the change, sorted
}

// CheckBase returns version_conflict unless base is the configuration version in force
// at this node.
func (r *Registry) CheckBase(base int) error {
	if v := r.Head().ConfigVersion; v != base {
		return versionConflict(base, v)
	}
	return nil
}

func versionConflict(base, current int) error {
	return errkind.New(errkind.VersionConflict, "base_version", "the change was made from version %d, but version %d is in force", base, current)
}

// Apply commits document as configuration version base+1. If that version is in force
// already with the same document, Apply only waits for its confirmations again.
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
	since, err := r.commitChange(ctx, func(ctx context.Context, head api.Head) (*transaction, error) {
		if head.ConfigVersion != base {
			return r.checkRepeated(ctx, head, &row)
		}
		next := head
		next.ConfigVersion = row.Version
		tx, err := newTransaction(next, configKey(row.Version), 0, &row, row.Stamp)
		if err != nil {
			return nil, err
		}
		tx.stampOf = configStamp
		return tx, nil
	})
	if err != nil {
		return nil, err
	}
	return r.awaitConfirmation(ctx, api.Head{ConfigVersion: row.Version}, since)
}

// checkRepeated returns version_conflict unless the document of the apply is in force
// already, as the version that the apply would create.
func (r *Registry) checkRepeated(ctx context.Context, head api.Head, row *api.ConfigRow) (*transaction, error) {
	if head.ConfigVersion != row.Version {
		return nil, versionConflict(row.BaseVersion, head.ConfigVersion)
	}
	current, err := r.ReadConfig(ctx, row.Version)
	if err != nil {
		return nil, err
	}
	if current.Document != row.Document {
		return nil, versionConflict(row.BaseVersion, head.ConfigVersion)
	}
	return nil, nil
}

// Grant creates a key. The secret is returned and is not stored.
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
	since, err := r.commitChange(ctx, func(_ context.Context, head api.Head) (*transaction, error) {
		next := head
		next.KeyRevision++
		k.Revision = next.KeyRevision
		tx, err := newTransaction(next, keyPrefix+id, 0, &k, k.Stamp)
		if err != nil {
			return nil, err
		}
		tx.uniqueKey = true
		return tx, nil
	})
	if err != nil {
		return api.Key{}, "", nil, err
	}
	result, err := r.awaitConfirmation(ctx, api.Head{KeyRevision: k.Revision}, since)
	return redacted(k), secret, result, err
}

// Withdraw invalidates a key. A repeated withdrawal waits for the confirmations again.
func (r *Registry) Withdraw(ctx context.Context, id string) (*Result, error) {
	stamp := rand.Text()
	var k api.Key
	since, err := r.commitChange(ctx, func(ctx context.Context, head api.Head) (*transaction, error) {
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
		tx, err := newTransaction(next, row.Key, row.Version, &k, stamp)
		if err != nil {
			return nil, err
		}
		tx.stampOf = keyStamp
		return tx, nil
	})
	if err != nil {
		return nil, err
	}
	return r.awaitConfirmation(ctx, api.Head{KeyRevision: k.Revision}, since)
}

// transaction writes a row and the head.
type transaction struct {
	check  platform.Check // of the row
	writes []platform.Write
	stamp  string
	// stampOf returns the stamp of the row.
	stampOf func(value []byte) string
	// uniqueKey is set if no other change can create the row, so that the existence of
	// the row proves that this transaction was applied.
	uniqueKey bool
}

// newTransaction returns the transaction that writes row under key, replacing the given
// version, and writes head.
func newTransaction(head api.Head, key string, version int64, row msgp.Marshaler, stamp string) (*transaction, error) {
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode row")
	}
	head.Stamp = stamp
	headValue, err := head.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	return &transaction{
		check:  platform.Check{Key: key, Version: version},
		writes: []platform.Write{{Key: key, Value: value}, {Key: headKey, Value: headValue}},
		stamp:  stamp,
	}, nil
}

// prepareFunc returns the transaction of a change to the state at head, or nil if the
// change is in force already.
type prepareFunc func(ctx context.Context, head api.Head) (*transaction, error)

// commitChange prepares and commits a change, with retries. It returns the boot time
// after which every read of the head includes the change.
func (r *Registry) commitChange(ctx context.Context, prepare prepareFunc) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		done, err := r.tryChange(ctx, prepare)
		if done {
			return r.options.Clock.Boot(), err
		}
		if !clock.Sleep(ctx, retryDelay) {
			return 0, errkind.Wrap(err, errkind.StoreUnavailable, "", "the change could not be written to the table service")
		}
	}
}

// tryChange prepares and commits a change once. It returns false and the error if
// nothing was applied and another attempt may succeed.
func (r *Registry) tryChange(ctx context.Context, prepare prepareFunc) (bool, error) {
	version, head, err := r.readHead(ctx)
	if err != nil {
		return false, err
	}
	tx, err := prepare(ctx, head)
	if err != nil {
		return !errkind.Is(err, errkind.StoreUnavailable), err
	}
	if tx == nil {
		return true, nil
	}
	return r.commitTransaction(ctx, tx, version)
}

// commitTransaction commits a transaction if the head has the given version. After a lost
// answer it reads the rows and repeats the same transaction until the outcome is certain:
// applied if the row carries the stamp, not applied if the head has another version and
// the row lacks the stamp.
func (r *Registry) commitTransaction(ctx context.Context, tx *transaction, headVersion int64) (bool, error) {
	checks := []platform.Check{{Key: headKey, Version: headVersion}, tx.check}
	outcomeUnknown := false
	for {
		err := r.commitOnce(ctx, checks, tx.writes)
		if err == nil {
			return true, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, platform.ErrAmbiguous)
		if errors.Is(err, platform.ErrConflict) && !outcomeUnknown {
			return false, err
		}
		if errors.Is(err, platform.ErrInvalid) && !outcomeUnknown {
			return true, errkind.Wrap(err, errkind.InvalidArgument, "document", "the table service refused the change")
		}
		if !outcomeUnknown {
			return false, err
		}
		switch applied, certain := r.checkApplied(ctx, tx, headVersion); {
		case certain && applied:
			return true, nil
		case certain:
			return false, err
		}
		if !clock.Sleep(ctx, retryDelay) {
			return true, errkind.Wrap(err, errkind.OutcomeUnknown, "", "the table service did not answer whether the change was applied")
		}
	}
}

func (r *Registry) commitOnce(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.options.Table.Commit(ctx, checks, writes)
	return err
}

// checkApplied reads whether a transaction whose answer was lost was applied, and whether
// that is certain.
func (r *Registry) checkApplied(ctx context.Context, tx *transaction, headVersion int64) (applied, certain bool) {
	version, _, err := r.readHead(ctx)
	if err != nil || version == headVersion {
		return false, false // the transaction may still be applied
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := r.options.Table.Get(ctx, tx.check.Key)
	if err != nil {
		return false, false
	}
	return row.Version != 0 && (tx.uniqueKey || tx.stampOf(row.Value) == tx.stamp), true
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
