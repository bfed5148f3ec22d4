package requests

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"time"

	"github.com/google/uuid"

	"github.com/endivehill/endivehill/internal/errkind"
)

// Limits on the time in the ID of a non-idempotent request. Records are kept
// for RecordRetention; whether a request with an older ID has run is not known.
const (
	RecordRetention = 24 * time.Hour
	MaxIDFuture     = time.Minute
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// CheckID validates the ID of an idempotent request.
func CheckID(id string) error {
	if !idPattern.MatchString(id) {
		return errkind.New(errkind.InvalidArgument, "Request-Id", "a request ID has 1 to 128 letters, digits, dots, underscores or hyphens and starts with a letter or digit")
	}
	return nil
}

// CheckRecordedID checks that the ID of a non-idempotent request is a UUID of
// version 7 in canonical form whose time is within the retention.
func CheckRecordedID(id string, now time.Time) error {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 || u.String() != id {
		return errkind.New(errkind.InvalidArgument, "Request-Id", "the queue is not idempotent: the request ID must be a UUID of version 7 in lower case")
	}
	at := TimeOfID(u)
	if at.After(now.Add(MaxIDFuture)) {
		return errkind.New(errkind.InvalidArgument, "Request-Id", "the time in the request ID is more than %v in the future", MaxIDFuture)
	}
	if at.Before(now.Add(-RecordRetention)) {
		return errkind.New(errkind.OutcomeUnknown, "Request-Id", "the request ID is older than %v, the time for which records are kept", RecordRetention)
	}
	return nil
}

// TimeOfID returns the time in a UUID of version 7: milliseconds since 1970 in
// the first 48 bits (RFC 9562, section 5.7).
func TimeOfID(u uuid.UUID) time.Time {
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// bodyHash returns the hash of queue and body. Two requests with the same ID
// are duplicates only if their hashes are equal.
func bodyHash(queue string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(queue))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
