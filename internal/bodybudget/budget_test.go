package bodybudget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"github.com/endivehill/endivehill/internal/errkind"
)

const testBodyBytes = 64 << 10

// fakeTime is a clock that moves only when a test sets it.
type fakeTime struct{ at time.Duration }

func (f *fakeTime) now() time.Duration { return f.at }

func newTestBudget(bytes int64) (*Budget, *fakeTime) {
	clock := &fakeTime{at: time.Hour}
	return New(Options{Bytes: bytes, MaxBodyBytes: testBodyBytes, Now: clock.now}), clock
}

func open(b *Budget, team, address string) *Charge { return b.Open(team, address, func() {}) }

// Guards against bytes that are never released, released twice, or granted beyond the
// budget or a bound, whatever the order of the calls.
func TestBudgetAccountsForEveryByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, clock := newTestBudget(rapid.Int64Range(0, 4<<20).Draw(t, "bytes"))
		type body struct {
			*Charge
			team, address string
			bytes         int64
			interrupted   int
			complete      bool
		}
		var bodies []*body
		pick := func(t *rapid.T) *body {
			if len(bodies) == 0 {
				t.Skip("no bodies")
			}
			return bodies[rapid.IntRange(0, len(bodies)-1).Draw(t, "body")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				n := &body{team: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "team"), address: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address")}
				n.Charge = b.Open(n.team, n.address, func() { n.interrupted++ })
				bodies = append(bodies, n)
			},
			"grow": func(t *rapid.T) {
				x, n := pick(t), rapid.Int64Range(0, maxSegmentBytes).Draw(t, "n")
				if !x.complete && x.Grow(n) == nil {
					x.bytes += n
					x.Progress(int(n))
				}
			},
			"complete": func(t *rapid.T) {
				x := pick(t)
				x.complete = true
				if err := x.Complete(); (err != nil) != (x.interrupted > 0) {
					t.Fatalf("complete: %v after %d interrupts", err, x.interrupted)
				}
			},
			"resize": func(t *rapid.T) {
				x, n := pick(t), rapid.Int64Range(0, 3*testBodyBytes).Draw(t, "n")
				switch {
				case !x.complete:
				case x.Resize(n) == nil:
					x.bytes = n
				case n <= x.bytes:
					t.Fatal("a smaller size was refused")
				}
			},
			"close": func(t *rapid.T) {
				x := pick(t)
				x.Close()
				x.bytes, x.complete = 0, true
			},
			"wait": func(t *rapid.T) { clock.at += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				var sum int64
				teams, addresses := map[string]int64{}, map[string]int64{}
				for _, x := range bodies {
					sum += x.bytes
					if x.Large() {
						teams[x.team] += x.bytes
						addresses[x.address] += x.bytes
					}
					if x.interrupted > 1 {
						t.Fatal("a body was interrupted twice")
					}
				}
				s := b.Stats()
				if s.Small+s.Large != sum || sum > s.Limit || s.Large > b.total-b.reserve {
					t.Fatalf("%+v for %d bytes", s, sum)
				}
				for team, n := range teams {
					if n > b.teamBound || n != b.teams[team] {
						t.Fatalf("team %q has %d bytes, accounted are %d", team, n, b.teams[team])
					}
				}
				for address, n := range addresses {
					if n > b.addressBound || n != b.addresses[address] {
						t.Fatalf("address %q has %d bytes, accounted are %d", address, n, b.addresses[address])
					}
				}
			},
		})
		for _, x := range bodies {
			x.Close()
			x.Close()
		}
		if s := b.Stats(); s.Small != 0 || s.Large != 0 || len(b.teams)+len(b.addresses)+len(b.incomplete) != 0 {
			t.Fatalf("not released: %+v, %v, %v, %d incomplete", s, b.teams, b.addresses, len(b.incomplete))
		}
	})
}

// fill charges large bodies of a team until the budget refuses, and returns them.
func fill(t *testing.T, b *Budget, team, address string) []*Charge {
	t.Helper()
	var out []*Charge
	for {
		c := open(b, team, address)
		for range testBodyBytes / maxSegmentBytes {
			if err := c.Grow(maxSegmentBytes); err != nil {
				if !errkind.Is(err, errkind.Overloaded) {
					t.Fatal(err)
				}
				return append(out, c)
			}
		}
		out = append(out, c)
	}
}

// Guards against large bodies that leave no memory for small ones or for other teams, and
// against bounds that refuse small bodies of a team or an address with many large ones.
func TestBoundsOfTeamsAndAddresses(t *testing.T) {
	b, _ := newTestBudget(8 << 20)
	fill(t, b, "a", "1")
	fill(t, b, "a", "2")
	if s := b.Stats(); s.Refused[ReasonTeam] == 0 || s.Large == 0 || s.Large > b.teamBound {
		t.Fatalf("the bound of the team does not hold: %+v", s)
	}
	fill(t, b, "b", "1")
	if s := b.Stats(); s.Refused[ReasonAddress] == 0 {
		t.Fatalf("the bound of the address does not hold: %+v", s)
	}
	fill(t, b, "c", "3")
	if s := b.Stats(); s.Refused[ReasonTotal] == 0 {
		t.Fatalf("the budget is not used up: %+v", s)
	}
	for n := int64(0); n+SmallBodyBytes <= b.reserve; n += SmallBodyBytes {
		if err := open(b, "a", "1").Grow(SmallBodyBytes); err != nil {
			t.Fatalf("small body after %d bytes of %d: %v", n, b.reserve, err)
		}
	}
}

// Guards against a budget, however small its setting, that a single body of permitted size
// does not fit while it is received and forwarded.
func TestSingleBodyFitsAnyBudget(t *testing.T) {
	for _, bytes := range []int64{0, 1, testBodyBytes, 1 << 20} {
		b, _ := newTestBudget(bytes)
		c := open(b, "a", "1")
		if _, err := Receive(iotest.OneByteReader(bytesReader(testBodyBytes)), -1, c); err != nil {
			t.Errorf("budget of %d bytes: %v", bytes, err)
		}
		if err := c.Resize(3 * testBodyBytes); err != nil {
			t.Errorf("budget of %d bytes, forwarding: %v", bytes, err)
		}
	}
}

func bytesReader(n int) io.Reader { return bytes.NewReader(bytes.Repeat([]byte("x"), n)) }

// Guards against a budget that stalled senders hold until their time limit, and against the
// eviction of bodies that arrive at an ordinary rate or are complete.
func TestSlowBodiesMakeRoom(t *testing.T) {
	b, clock := newTestBudget(1 << 20)
	var interrupted []string
	start := func(name, team string) *Charge {
		c := b.Open(team, name, func() { interrupted = append(interrupted, name) })
		if err := c.Grow(testBodyBytes); err != nil {
			t.Fatal(err)
		}
		return c
	}
	complete := start("complete", "a")
	if err := complete.Complete(); err != nil {
		t.Fatal(err)
	}
	stalled := start("stalled", "a")
	trickling, steady := start("trickling", "b"), start("steady", "b")
	for range 20 {
		clock.at += stallTime / 4
		trickling.Progress(1)
		steady.Progress(minRate)
	}
	fill(t, b, "a", "1")
	clock.at += evictInterval
	fill(t, b, "b", "2")
	if want := []string{"stalled", "trickling"}; len(interrupted) != 2 || interrupted[0] != want[0] || interrupted[1] != want[1] {
		t.Fatalf("interrupted %v, want %v", interrupted, want)
	}
	for _, c := range []*Charge{stalled, trickling} {
		if err := c.Grow(1); !errkind.Is(err, errkind.Overloaded) {
			t.Errorf("an interrupted body goes on: %v", err)
		}
	}
	if err := steady.Complete(); err != nil {
		t.Error(err)
	}
}

// Guards against a body that is changed, or charged less than it holds, on its way through
// the segments.
func TestReceive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 0, testBodyBytes/4).Draw(t, "body")
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "data with EOF") {
			r = iotest.DataErrReader(r)
		}
		length := int64(len(want))
		if rapid.Bool().Draw(t, "chunked") {
			length = -1
		}
		b, _ := newTestBudget(1 << 20)
		c := open(b, "a", "1")
		body, err := Receive(r, length, c)
		if err != nil {
			t.Fatal(err)
		}
		held := 0
		for _, s := range body.segments {
			held += cap(s)
		}
		if int64(held) > c.bytes || c.bytes > int64(len(want))+maxSegmentBytes {
			t.Fatalf("%d bytes are charged for %d that hold %d", c.bytes, held, len(want))
		}
		if got := body.Bytes(); !bytes.Equal(got, want) || body.Size() != len(want) {
			t.Fatalf("got %d bytes, want %d", len(got), len(want))
		}
	})
}

// Guards against memory that is allocated for an announced length before the bytes arrive.
func TestReceiveAllocatesWhatArrives(t *testing.T) {
	b, _ := newTestBudget(1 << 20)
	c := open(b, "a", "1")
	broken := errors.New("broken")
	if _, err := Receive(io.MultiReader(bytesReader(10), iotest.ErrReader(broken)), testBodyBytes, c); !errors.Is(err, broken) {
		t.Fatal(err)
	}
	if c.bytes > firstSegmentBytes {
		t.Errorf("%d bytes are charged for 10", c.bytes)
	}
	if _, err := Receive(bytesReader(10), 20, open(b, "a", "1")); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that is cut short gives %v", err)
	}
}

// Guards against more large bodies being decoded at once than there is memory for, and
// against a slot that is never given back.
func TestDecodeSlots(t *testing.T) {
	b, _ := newTestBudget(1 << 20)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var releases []func()
	for range decodeSlots {
		release, err := b.AcquireDecoding(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	if _, err := b.AcquireDecoding(ctx); !errkind.Is(err, errkind.Overloaded) || b.Stats().Refused[ReasonDecode] != 1 {
		t.Fatalf("no slot is free: %v", err)
	}
	for _, release := range releases {
		release()
	}
	if _, err := b.AcquireDecoding(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a team that keeps asking beyond its bound and so keeps slow bodies of others
// from being refused in favor of a third team.
func TestTeamAtItsBoundDoesNotDelayOthers(t *testing.T) {
	b, clock := newTestBudget(4 << 20)
	interrupted := 0
	fill := func(team string) {
		for {
			c := b.Open(team, team, func() { interrupted++ })
			if c.Grow(testBodyBytes) != nil {
				return
			}
		}
	}
	fill("slow")
	clock.at += stallTime
	fill("busy")
	if interrupted != 0 {
		t.Fatalf("%d bodies were interrupted for a team at its bound", interrupted)
	}
	if err := open(b, "third", "third").Grow(testBodyBytes); err == nil {
		t.Fatal("a body beyond the budget was accepted")
	}
	if interrupted == 0 {
		t.Error("no slow body was interrupted")
	}
}
