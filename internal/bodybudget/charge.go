package bodybudget

import (
	"sync/atomic"
	"time"
)

// Charge is the memory of one request body. It is used by one goroutine.
type Charge struct {
	budget        *Budget
	team, address string
	interrupt     func()

	// Changed with budget.mu held.
	bytes      int64
	smallBytes int64 // size up to which the body is small
	large      bool
	admitted   bool // large, and has been counted among the incomplete ones
	evicted    bool
	enlargedAt time.Duration // when the body became large

	received     atomic.Int64 // bytes since enlargedAt
	progressedAt atomic.Int64 // time of the last of them, a time.Duration
}

// Grow charges n more bytes for a body that is being received, or refuses it.
func (c *Charge) Grow(n int64) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return b.refuse(ReasonSlow)
	}
	if !c.large && c.bytes+n > c.smallBytes {
		return c.enlarge(n)
	}
	return c.grow(n)
}

// announce records the length of the body, -1 if it is unknown. It refuses a large body that
// would not fit now, before any of it is received. Nothing is charged: a client may announce
// what it does not send.
func (c *Charge) announce(length int64) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case length < 0:
		c.smallBytes = UnknownBodyBytes
		return nil
	case length <= SmallBodyBytes:
		return nil
	}
	c.large = true
	if r := b.fits(c, length); r != "" {
		c.large = false
		b.makeRoom(r, c, length)
		return b.refuse(r)
	}
	c.beginReceiving()
	return nil
}

// grow charges n more bytes. budget.mu is held.
func (c *Charge) grow(n int64) error {
	b := c.budget
	if r := b.fits(c, n); r != "" {
		b.makeRoom(r, c, n)
		return b.refuse(r)
	}
	b.add(c, n)
	return nil
}

// enlarge makes the body a large one with n more bytes. budget.mu is held.
func (c *Charge) enlarge(n int64) error {
	b := c.budget
	held := c.bytes
	b.add(c, -held)
	c.large = true
	if err := c.grow(held + n); err != nil {
		c.large = false
		b.add(c, held)
		return err
	}
	c.beginReceiving()
	return nil
}

// beginReceiving counts a large body among the incomplete ones. budget.mu is held.
func (c *Charge) beginReceiving() {
	c.admitted = true
	c.enlargedAt = c.budget.now()
	c.progressedAt.Store(int64(c.enlargedAt))
	c.budget.incomplete[c] = struct{}{}
}

// Progress records that n bytes of the body have arrived.
func (c *Charge) Progress(n int) {
	if n > 0 && c.large {
		c.received.Add(int64(n))
		c.progressedAt.Store(int64(c.budget.now()))
	}
}

// slow reports whether an incomplete body may be refused in favor of others. budget.mu is
// held.
func (c *Charge) slow(now time.Duration) bool {
	if now-time.Duration(c.progressedAt.Load()) >= stallTime {
		return true
	}
	age := now - c.enlargedAt
	return age >= slowAfter && float64(c.received.Load()) < minRate*age.Seconds()
}

// Complete records that the body has arrived completely. It fails if the body has been
// refused in the meantime.
func (c *Charge) Complete() error {
	if !c.large {
		return nil
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return b.refuse(ReasonSlow)
	}
	delete(b.incomplete, c)
	if c.bytes <= SmallBodyBytes { // its length was unknown
		held := c.bytes
		b.add(c, -held)
		c.large = false
		b.add(c, held)
	}
	return nil
}

// Evicted returns the refusal of a body that was interrupted because it was slow, and counts
// it; nil if the body was not interrupted.
func (c *Charge) Evicted() error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return b.refuse(ReasonSlow)
	}
	return nil
}

// Large reports whether the body is larger than SmallBodyBytes.
func (c *Charge) Large() bool { return c.large }

// Resize sets the bytes of a complete body, for instance once it is decoded. A smaller size
// is never refused.
func (c *Charge) Resize(bytes int64) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := bytes - c.bytes; n > 0 {
		return c.grow(n)
	}
	b.add(c, bytes-c.bytes)
	return nil
}

// Close releases all bytes. Closing a charge again has no effect.
func (c *Charge) Close() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.incomplete, c)
	b.add(c, -c.bytes)
}
