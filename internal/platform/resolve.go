package platform

import "context"

// resolution is what the rows show about a commit whose result is not known.
type resolution int

const (
	resolutionApplied     resolution = iota // a row has the stamp of the operation
	resolutionNotApplied                    // a row to be written still has the checked version
	resolutionOverwritten                   // the rows were changed by others
	resolutionUnknown                       // the rows do not show whether the commit was applied
)

// resolveOutcome reads the rows that op writes until one of them shows the outcome.
// resolutionNotApplied is valid at the time of the read: a delayed commit may still be
// applied, but not in addition to a repeated one, because both have the same check.
func resolveOutcome(ctx context.Context, table Table, op Operation) (resolution, int64, error) {
	checked := make(map[string]int64, len(op.Checks))
	for _, c := range op.Checks {
		checked[c.Key] = c.Version
	}
	puts, deletes := splitWrites(op.Writes)
	if len(puts) == 0 {
		return resolveDeletes(ctx, table, deletes, checked)
	}
	return resolvePuts(ctx, table, op.Stamp, puts, checked)
}

func splitWrites(writes []Write) (puts, deletes []string) {
	for _, w := range writes {
		if w.Delete {
			deletes = append(deletes, w.Key)
		} else {
			puts = append(puts, w.Key)
		}
	}
	return puts, deletes
}

func resolvePuts(ctx context.Context, table Table, stamp string, keys []string, checked map[string]int64) (resolution, int64, error) {
	found := resolutionUnknown
	for _, key := range keys {
		row, err := table.Get(ctx, key)
		if err != nil {
			return resolutionUnknown, 0, err
		}
		if row.Version != 0 {
			if got, _, err := DecodeStamped(row.Value); err == nil && got == stamp {
				return resolutionApplied, row.Version, nil
			}
		}
		version, ok := checked[key]
		if !ok {
			continue
		}
		if row.Version == version {
			return resolutionNotApplied, 0, nil
		}
		found = resolutionOverwritten
	}
	return found, 0, nil
}

// resolveDeletes treats an absent row as deleted by the operation. Whether another
// writer deleted it makes no difference to the caller.
func resolveDeletes(ctx context.Context, table Table, keys []string, checked map[string]int64) (resolution, int64, error) {
	for _, key := range keys {
		row, err := table.Get(ctx, key)
		if err != nil {
			return resolutionUnknown, 0, err
		}
		version, ok := checked[key]
		switch {
		case row.Version == 0:
			continue
		case !ok:
			return resolutionUnknown, 0, nil
		case row.Version == version:
			return resolutionNotApplied, 0, nil
		default:
			return resolutionOverwritten, 0, nil
		}
	}
	if len(keys) == 0 {
		return resolutionNotApplied, 0, nil // only checks, so the commit can be repeated
	}
	return resolutionApplied, 0, nil
}
