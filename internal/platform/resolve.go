package platform

import "context"

// resolution is what the rows tell about a call whose result is not known.
type resolution int

const (
	applied     resolution = iota // a row has the stamp of the operation
	notApplied                    // a row that it writes is still as checked
	overwritten                   // its rows were changed by others
	undecided                     // the rows cannot tell
)

// resolve reads the rows that op writes until one of them decides. notApplied
// holds for the time of the read; a call still under way may yet be applied, but
// then not together with a repeated one, as both have the same check.
func resolve(ctx context.Context, table Table, op Op) (resolution, int64, error) {
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
	found := undecided
	for _, key := range keys {
		row, err := table.Get(ctx, key)
		if err != nil {
			return undecided, 0, err
		}
		if row.Version != 0 {
			if got, _, err := Decode(row.Value); err == nil && got == stamp {
				return applied, row.Version, nil
			}
		}
		version, ok := checked[key]
		if !ok {
			continue
		}
		if row.Version == version {
			return notApplied, 0, nil
		}
		found = overwritten
	}
	return found, 0, nil
}

// resolveDeletes takes the absence of a row as the effect of the operation;
// whether another writer deleted it makes no difference to the caller.
func resolveDeletes(ctx context.Context, table Table, keys []string, checked map[string]int64) (resolution, int64, error) {
	for _, key := range keys {
		row, err := table.Get(ctx, key)
		if err != nil {
			return undecided, 0, err
		}
		version, ok := checked[key]
		switch {
		case row.Version == 0:
			continue
		case !ok:
			return undecided, 0, nil
		case row.Version == version:
			return notApplied, 0, nil
		default:
			return overwritten, 0, nil
		}
	}
	if len(keys) == 0 {
		return notApplied, 0, nil // only checks: the call can be repeated
	}
	return applied, 0, nil
}
