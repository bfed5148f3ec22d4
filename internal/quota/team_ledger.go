package quota

import "time"

// idleReturn is how long an allotment must not have been needed before it is
// returned.
const idleReturn = 2 * time.Second

// share is what one partition holds for one team.
type share struct {
	held amount // what the owner may use
	used amount // what it last reported in use, at most
	need amount // what it last could use
	// ceiling is the lowest allotment in a write whose outcome is not known.
	ceiling amount
	// target is what to reduce to while the limit is exceeded.
	target amount

	// Since when the need of each kind has been below what is held, and the
	// highest need since; 0 for not at all.
	idleSince [kinds]time.Duration
	idlePeak  amount
}

func newShare() *share { return &share{ceiling: unlimited, target: unlimited} }

// demand takes a report of the owner over. This is the only place that lowers
// what is held: it runs on the goroutine that starts the work.
func (s *share) demand(used, need, allotted amount, now time.Duration) {
	s.used = used
	s.need = need
	usable := allotted.lower(s.ceiling).lower(s.target)
	for i := range s.held {
		s.held[i] = min(s.held[i], usable[i])
		s.dropIdle(i, now)
		s.held[i] = max(s.held[i], min(usable[i], s.need[i]))
	}
}

// dropIdle lowers what is held of one kind to what was needed of late.
func (s *share) dropIdle(i int, now time.Duration) {
	if s.need[i] >= s.held[i] {
		s.idleSince[i] = 0
		return
	}
	if s.idleSince[i] == 0 {
		s.idleSince[i], s.idlePeak[i] = now, 0
	}
	s.idlePeak[i] = max(s.idlePeak[i], s.need[i])
	if now-s.idleSince[i] >= idleReturn {
		s.held[i] = s.idlePeak[i]
		s.idleSince[i] = 0
	}
}

// raise makes an allotment usable that was granted. It never lowers.
func (s *share) raise(granted, allotted amount) {
	for i := range s.held {
		if granted[i] > 0 {
			s.held[i] = max(s.held[i], min(allotted[i], s.target[i]))
		}
	}
}

// keep returns how much of an allotment must stay recorded.
func (s *share) keep(allotted amount) amount { return s.held.upper(s.used).lower(allotted) }
