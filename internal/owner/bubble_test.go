package owner

import (
	"errors"
	"time"
)

// bubbleClock is the simulated clock of a testing/synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Boot() time.Duration { return time.Hour + time.Since(c.began) }
func (c bubbleClock) Now() time.Time      { return time.Now() }

var errTenureEnded = errors.New("the tenure has ended")
