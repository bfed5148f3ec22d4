package bodybudget

import (
	"bytes"
	"io"
	"testing"

	"github.com/endivehill/endivehill/internal/errkind"
)

// noReader fails the test if it is read.
type noReader struct{ t *testing.T }

func (r noReader) Read([]byte) (int, error) {
	r.t.Error("a body that can't be received is read")
	return 0, io.EOF
}

// Guards against a body that is read although it is known from its length that it does not fit.
func TestAnnouncedBodyThatDoesNotFitIsNotRead(t *testing.T) {
	b, _ := newTestBudget(1 << 20)
	for _, c := range fill(t, b, "a", "1") {
		if c.Complete() != nil {
			t.Fatal("a body that has arrived is refused")
		}
	}
	fill(t, b, "b", "2")
	c := open(b, "c", "3")
	if _, err := Receive(noReader{t}, testBodyBytes, c); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("error %v", err)
	}
	if s := b.Stats(); s.Refused[ReasonTotal] == 0 {
		t.Errorf("%+v", s)
	}
	small := open(b, "c", "3")
	if _, err := Receive(bytes.NewReader(make([]byte, SmallBodyBytes)), SmallBodyBytes, small); err != nil {
		t.Errorf("a small body: %v", err)
	}
}

// Guards against clients that begin many large bodies and stop: they would keep all others
// waiting for the processor, and their connections from other callers.
func TestNumberOfIncompleteBodiesIsLimited(t *testing.T) {
	b, clock := newTestBudget(1 << 20)
	interrupted := 0
	for range b.maxIncomplete {
		c := b.Open("a", "1", func() { interrupted++ })
		if err := c.announce(testBodyBytes); err != nil {
			t.Fatal(err)
		}
	}
	announced, unknown := open(b, "a", "1"), open(b, "b", "2")
	if _, err := Receive(noReader{t}, testBodyBytes, announced); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("announced length: error %v", err)
	}
	source := bytes.NewReader(make([]byte, testBodyBytes))
	if _, err := Receive(source, -1, unknown); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("unknown length: error %v", err)
	}
	if read := testBodyBytes - source.Len(); read > UnknownBodyBytes {
		t.Errorf("%d bytes of a body of unknown length were read", read)
	}
	if s := b.Stats(); s.Refused[ReasonReceiving] != 2 || interrupted != 0 {
		t.Errorf("%+v, %d interrupted", s, interrupted)
	}
	clock.at += stallTime
	_ = open(b, "a", "1").announce(testBodyBytes) // interrupts a body that has stopped, and is refused meanwhile
	if interrupted != 1 {
		t.Errorf("%d bodies were interrupted", interrupted)
	}
	if err := open(b, "a", "1").announce(testBodyBytes); err != nil {
		t.Errorf("the place of the interrupted body: %v", err)
	}
}

// Guards against ordinary callers that don't announce the length of their small bodies and are
// counted with those of large ones.
func TestSmallBodyOfUnknownLength(t *testing.T) {
	b, _ := newTestBudget(1 << 20)
	for _, size := range []int{0, 100, UnknownBodyBytes, UnknownBodyBytes + 1, 5 << 10} {
		c := open(b, "a", "1")
		body, err := Receive(bytes.NewReader(make([]byte, size)), -1, c)
		if err != nil || body.Size() != size {
			t.Fatalf("%d bytes: %v", size, err)
		}
		if c.Large() {
			t.Errorf("a body of %d bytes is large", size)
		}
		if s := b.Stats(); s.Large != 0 || len(b.teams)+len(b.addresses)+len(b.incomplete) != 0 {
			t.Errorf("%d bytes: %+v, %d incomplete", size, s, len(b.incomplete))
		}
	}
}
