package bodybudget

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

const refusalLogInterval = time.Second // between two log lines

// RefusalLog logs that bodies are refused, at most once in refusalLogInterval.
type RefusalLog struct {
	Budget *Budget
	Logger log.Logger

	loggedAt atomic.Int64 // a time.Duration; 0 for never
}

// Report logs the refusals so far if err is a refusal of the budget.
func (l *RefusalLog) Report(err error) {
	if e := errkind.From(err); e == nil || e.Kind != errkind.Overloaded || e.Field != refusedField {
		return
	}
	now, last := int64(l.Budget.now()), l.loggedAt.Load()
	if last != 0 && now-last < int64(refusalLogInterval) || !l.loggedAt.CompareAndSwap(last, now) {
		return
	}
	s := l.Budget.Stats()
	fields := []any{"limit_bytes", s.Limit, "small_bytes", s.Small, "large_bytes", s.Large}
	for _, r := range Reasons {
		fields = append(fields, string(r), s.Refused[r])
	}
	event.BodiesRefused.Log(l.Logger, fields...)
}
