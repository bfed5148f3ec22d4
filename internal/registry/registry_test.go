package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/standin"
)

// singleNode is the membership of a cell with one node.
type singleNode struct{ outageUntil *time.Duration }

func (singleNode) Self() api.Member              { return api.Member{Node: "a", Incarnation: "a-1"} }
func (n singleNode) OutageUntil() time.Duration  { return *n.outageUntil }
func (singleNode) Refresh(context.Context) error { return nil }
func (singleNode) Others() []api.Member          { return nil }

func (singleNode) CannotServeStale(string, string, time.Duration) bool { return false }

func newTestRegistry(t interface{ Fatal(...any) }, table *standin.Table) *Registry {
	r, _, _ := newTestRegistryWithClock(t, table)
	return r
}

// newTestRegistryWithClock returns a registry with its clock and the boot time until
// which its membership confirms a cell-wide outage.
func newTestRegistryWithClock(t interface{ Fatal(...any) }, table *standin.Table) (*Registry, *clock.Fake, *time.Duration) {
	c := clock.NewFake(time.Now())
	outage := new(time.Duration)
	r, err := New(Options{Table: table, Membership: singleNode{outage}, Clock: c, OperatorKeySHA256: hashSecret("first key")})
	if err != nil {
		t.Fatal(err)
	}
	return r, c, outage
}

// TestFreshness guards against a view that counts as current for too long, after a
// report of a peer with newer state, or again after it was stale without a read.
func TestFreshness(t *testing.T) {
	const read, peer, newerPeer = "read", "peer", "newer peer"
	tests := []struct {
		name    string
		after   time.Duration // since the read at the start
		source  string
		age     time.Duration // of the read by the peer
		outage  time.Duration // duration of a confirmed outage, from then on
		advance time.Duration
		want    bool
	}{
		{"just read", 0, "", 0, 0, 0, true},
		{"about to become stale", 0, "", 0, 0, MaxViewAge - time.Millisecond, true},
		{"became stale", 0, "", 0, 0, MaxViewAge, false},
		{"read by a peer", 3 * time.Second, peer, time.Second, 0, 2900 * time.Millisecond, true},
		{"read by a peer long ago", 3 * time.Second, peer, time.Second, 0, 3 * time.Second, false},
		{"a peer has newer state", 3 * time.Second, newerPeer, 0, 0, 1100 * time.Millisecond, false},
		{"cell-wide outage", 3 * time.Second, "", 0, 3 * time.Second, 2900 * time.Millisecond, true},
		{"cell-wide outage but a peer has newer state", 3 * time.Second, newerPeer, 0, 3 * time.Second, 1100 * time.Millisecond, false},
		{"outage after the view became stale", 5 * time.Second, "", 0, 3 * time.Second, 0, false},
		{"read after the view became stale", 5 * time.Second, read, 0, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, c, outage := newTestRegistryWithClock(t, standin.NewTable())
			if err := r.Refresh(context.Background()); err != nil {
				t.Fatal(err)
			}
			c.Advance(tt.after)
			out := &api.PingResponse{Member: api.Member{Incarnation: "b-1"}, HeadAgeMs: int(tt.age / time.Millisecond)}
			switch tt.source {
			case read:
				if err := r.Refresh(context.Background()); err != nil {
					t.Fatal(err)
				}
			case newerPeer:
				out.Head.ConfigVersion = 1
				r.PingAnswered(c.Boot(), out)
			case peer:
				r.PingAnswered(c.Boot(), out)
			}
			if tt.outage > 0 {
				*outage = c.Boot() + tt.outage
				_ = r.CheckFresh() // extends the freshness by the outage
			}
			c.Advance(tt.advance)
			if err := r.CheckFresh(); (err == nil) != tt.want {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestAuthenticate guards against a key that is accepted with a wrong part or after its
// withdrawal, and against errors and lists that contain secrets.
func TestAuthenticate(t *testing.T) {
	ctx := context.Background()
	r := newTestRegistry(t, standin.NewTable())
	k, secret, res, err := r.Grant(ctx, api.RoleCaller, "gallery")
	if err != nil || !res.Confirmed {
		t.Fatal(res, err)
	}
	withdrawn, withdrawnSecret, _, err := r.Grant(ctx, api.RoleOperator, "")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // a repeated withdrawal changes nothing
		if res, err := r.Withdraw(ctx, withdrawn.Id); err != nil || !res.Confirmed || res.Version != 3 {
			t.Fatal(res, err)
		}
	}
	wrongSecret := secret[:len(secret)-1] + map[bool]string{true: "b", false: "a"}[strings.HasSuffix(secret, "a")]
	tests := []struct {
		name, secret, wantID string
	}{
		{"granted", secret, k.Id},
		{"operator key of the settings", "first key", BootstrapKeyID},
		{"withdrawn", withdrawnSecret, ""},
		{"one character wrong", wrongSecret, ""},
		{"secret of another key", "evk_" + k.Id + "_" + strings.Split(withdrawnSecret, "_")[2], ""},
		{"unknown ID", "evk_aaaa_" + strings.Split(secret, "_")[2], ""},
		{"without secret part", "evk_" + k.Id + "_", ""},
		{"the stored hash", hashSecret(secret), ""},
		{"too many parts", secret + "_x", ""},
		{"empty", "", ""},
		{"huge", strings.Repeat("x", 1<<20), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := r.Authenticate(tt.secret)
			if got.Id != tt.wantID || (err == nil) != (tt.wantID != "") {
				t.Errorf("got %q, %v", got.Id, err)
			}
			if err != nil && (!errkind.Is(err, errkind.Unauthenticated) || (tt.secret != "" && strings.Contains(err.Error(), tt.secret))) {
				t.Errorf("got %v", err)
			}
		})
	}
	shown, err := json.Marshal(r.ListKeys())
	if err != nil || strings.Contains(string(shown), hashSecret(secret)) || len(r.ListKeys()) != 2 {
		t.Errorf("list %s, %v", shown, err)
	}
	if _, err := r.Withdraw(ctx, "none"); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("withdraw an unknown key: %v", err)
	}
}

// TestLostAnswers guards against a change that is applied twice, not applied, or reported
// with a wrong result when answers of the table are lost.
func TestLostAnswers(t *testing.T) {
	ctx := context.Background()
	table := standin.NewTable()
	table.SetFaults(standin.Faults{LoseAnswers: true})
	r := newTestRegistry(t, table)
	for i := range 3 {
		res, err := r.Apply(ctx, i, &api.Configuration{Cell: fmt.Sprint(i)}, "operator")
		if err != nil || res.Version != i+1 || !res.Confirmed {
			t.Errorf("apply: %+v, %v", res, err)
		}
	}
	if _, err := r.Apply(ctx, 1, &api.Configuration{Cell: "x"}, "operator"); !errkind.Is(err, errkind.VersionConflict) {
		t.Errorf("apply from an old base: %v", err)
	}
	k, _, _, err := r.Grant(ctx, api.RoleCaller, "gallery")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Withdraw(ctx, k.Id); err != nil {
		t.Error(err)
	}
	if got := r.Head(); got.ConfigVersion != 3 || got.KeyRevision != 2 || r.Snapshot().Config.Cell != "2" {
		t.Errorf("head %+v, configuration %+v", got, r.Snapshot().Config)
	}
}

// TestStoreUnavailable guards against a change that is accepted while the table is down or
// fails with another kind than store_unavailable, and against a node that counts as fresh
// although it has not read the table yet.
func TestStoreUnavailable(t *testing.T) {
	table := standin.NewTable()
	r := newTestRegistry(t, table)
	table.SetFaults(standin.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := r.Apply(ctx, 0, &api.Configuration{}, "operator"); !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("apply: %v", err)
	}
	if err := r.CheckFresh(); !errkind.Is(err, errkind.NodeNotFresh) {
		t.Errorf("CheckFresh: %v", err)
	}
}

// TestVersionsNeverDecrease guards against updates that, in any order and with gaps or
// repeats, install an older configuration or key or leave a changed key out.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRegistry(t, standin.NewTable())
		const keys, last = 5, 30
		revisions := map[string]int{} // newest revision of each key up to a head
		keysAt := func(revision int) []api.Key {
			var out []api.Key
			for id := range keys {
				newest := 0
				for rev := 1; rev <= revision; rev++ {
					if rev%keys == id {
						newest = rev
					}
				}
				if newest > 0 {
					out = append(out, api.Key{Id: fmt.Sprint(id), Revision: newest})
				}
			}
			return out
		}
		for range 40 {
			before := r.Head()
			head := api.Head{
				ConfigVersion: rapid.IntRange(0, last).Draw(t, "config"),
				KeyRevision:   rapid.IntRange(0, last).Draw(t, "revision"),
			}
			since := rapid.IntRange(0, head.KeyRevision).Draw(t, "since")
			var changed []api.Key
			for _, k := range keysAt(head.KeyRevision) {
				if k.Revision > since {
					changed = append(changed, k)
				}
			}
			config := []api.ConfigRow{{Version: head.ConfigVersion, Document: fmt.Sprintf(`{"cell":"%d"}`, head.ConfigVersion)}}
			if err := r.install(head, config, changed, since); err != nil {
				t.Fatal(err)
			}
			snap := r.Snapshot()
			if behind(r.Head(), before) {
				t.Fatalf("the head decreased from %+v to %+v", before, r.Head())
			}
			if snap.ConfigVersion > 0 && snap.Config.Cell != fmt.Sprint(snap.ConfigVersion) {
				t.Fatalf("version %d is in force with the document of %q", snap.ConfigVersion, snap.Config.Cell)
			}
			for _, k := range keysAt(int(snap.KeyRevision)) {
				if got := snap.Keys[k.Id].Revision; got < k.Revision || got < revisions[k.Id] {
					t.Fatalf("key %s has revision %d at %d", k.Id, got, snap.KeyRevision)
				}
				revisions[k.Id] = snap.Keys[k.Id].Revision
			}
		}
	})
}

// slowTable answers each read after delay and counts them.
type slowTable struct {
	platform.Table
	delay time.Duration
	reads int
}

func (t *slowTable) Get(ctx context.Context, key string) (platform.Row, error) {
	t.reads++
	time.Sleep(t.delay)
	return t.Table.Get(ctx, key)
}

// TestRunSlowStore guards against reads that accumulate or stop when the store takes
// longer than refreshInterval, and against the crash of the race detector that several
// overdue tickers in one bubble cause (see clock.NewTimer).
func TestRunSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = refreshInterval + refreshInterval/2
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		var wg sync.WaitGroup
		tables := make([]*slowTable, 8)
		for i := range tables {
			tables[i] = &slowTable{Table: standin.NewTable(), delay: delay}
			r, err := New(Options{Table: tables[i], Membership: singleNode{new(time.Duration)}, Clock: clock.NewFake(time.Now())})
			if err != nil {
				t.Fatal(err)
			}
			wg.Go(func() { r.Run(ctx) })
		}
		wg.Wait()
		for _, table := range tables {
			if want := int(time.Hour/delay) - 1; table.reads < want {
				t.Errorf("%d reads in an hour, want %d", table.reads, want)
			}
		}
	})
}
