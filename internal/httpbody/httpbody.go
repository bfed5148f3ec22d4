// Package httpbody holds what the HTTP servers of both programs share in receiving request
// bodies.
package httpbody

import (
	"iter"
	"net"
	"net/http"
	"time"
)

// ForwardedCopies is the memory for a call that is being forwarded as a multiple of the size
// of its body: the decoded body, its encoding and the frame for another node.
const ForwardedCopies = 3

// drainTime is the time for which the rest of a body that is not served is read and
// discarded, so that its sender can read the response before the connection is closed.
const drainTime = 500 * time.Millisecond

// CallerAddress returns the IP address from which a call came.
func CallerAddress(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return host
	}
	return r.RemoteAddr
}

// CloseAfterResponse closes the connection after the response, and limits the time for which
// the server waits for the rest of the body.
func CloseAfterResponse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	setReadDeadline(w, time.Now().Add(drainTime))
}

// InterruptRead ends a pending read of the body.
func InterruptRead(w http.ResponseWriter) { setReadDeadline(w, time.Now()) }

func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(deadline) // not supported by all writers
}

// Structure returns the bytes of a JSON text that are not part of a string. The text need not
// be valid.
func Structure(text []byte) iter.Seq[byte] {
	return func(yield func(byte) bool) {
		inString, escaped := false, false
		for _, c := range text {
			switch {
			case escaped:
				escaped = false
			case inString:
				escaped, inString = c == '\\', c != '"'
			case c == '"':
				inString = true
			default:
				if !yield(c) {
					return
				}
			}
		}
	}
}
