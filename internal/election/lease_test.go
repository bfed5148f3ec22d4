package election

import (
	"testing"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

// Guards against a fencing token that goes back when the ownership row can't be read or is
// gone, so that workers reject the next owner and take orders of an earlier one.
func TestEpochNeverGoesBack(t *testing.T) {
	for name, damage := range map[string]func(*fakeStore){
		"unreadable": func(s *fakeStore) { s.row.Value = []byte{0xc1} },
		"empty":      func(s *fakeStore) { s.row.Value = nil },
		"removed":    func(s *fakeStore) { s.row = nil },
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{}
			last := 0
			for range 5 {
				last = claimEpoch(t, store)
			}
			damage(store)
			for range 2 {
				epoch := claimEpoch(t, store)
				if epoch <= last {
					t.Fatalf("epoch %d after epoch %d", epoch, last)
				}
				last = epoch
			}
		})
	}
}

// claimEpoch claims the cell from its present owner and returns the epoch.
func claimEpoch(t *testing.T, store rows.Store) int {
	t.Helper()
	row, err := readOwnershipRow(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	lease, err := claim(t.Context(), store, clock.System{}, Holder{Node: "n0", Incarnation: "i", Address: "n0"}, row)
	if err != nil {
		t.Fatal(err)
	}
	return lease.Epoch()
}

// Guards against an owner whose calls a worker refuses, or takes for those of an earlier owner, of this release or of one that had one token for each claim.
func TestTokensOfAnOwnerFollowThoseOfEarlierOwners(t *testing.T) {
	for _, earlier := range []int{0, 1, 57, tokensPerOwner - 1, tokensPerOwner, 3*tokensPerOwner + 1} {
		l := Lease{record: api.CellLease{Epoch: nextEpoch(earlier)}}
		if l.FirstToken() <= earlier || l.Epoch()-l.FirstToken() != tokensPerOwner-1 {
			t.Errorf("after %d: tokens %d to %d", earlier, l.FirstToken(), l.Epoch())
		}
	}
	for version, claims := range []int{0, 1, 2, 3} {
		if epoch := epochBound(int64(version)); epoch < claims*tokensPerOwner {
			t.Errorf("version %d: %d", version, epoch)
		}
	}
}
