package httpapi

import (
	stderrors "errors"
	"net/http"
	"os"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/bodybudget"
	"github.com/endivehill/endivehill/internal/document"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/httpbody"
)

// receiveBody reads the body of a call of a team within the limits on its size, time and
// memory. After an error the connection is closed.
func (x *exchange) receiveBody(team string) (*bodybudget.Body, error) {
	limit := int64(x.server.options.Limits.MaxBodyBytes)
	if x.r.ContentLength > limit {
		httpbody.CloseAfterResponse(x.w)
		return nil, bodyTooLarge(limit)
	}
	x.charge = x.server.bodies.Open(team, httpbody.CallerAddress(x.r), func() { httpbody.InterruptRead(x.w) })
	body, err := bodybudget.Receive(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, x.charge)
	if err == nil {
		return body, nil
	}
	httpbody.CloseAfterResponse(x.w)
	var tooLarge *http.MaxBytesError
	switch {
	case errkind.Is(err, errkind.Overloaded):
		return nil, err
	case stderrors.As(err, &tooLarge):
		return nil, bodyTooLarge(limit)
	case stderrors.Is(err, os.ErrDeadlineExceeded):
		return nil, errkind.Wrap(err, errkind.DeadlineExceeded, "body", "the body was not received within %v", x.server.bodyTimeout)
	}
	return nil, errkind.Wrap(err, errkind.InvalidArgument, "body", "the body was not received completely")
}

func bodyTooLarge(limit int64) error {
	return errkind.New(errkind.BodyTooLarge, "body", "the body is larger than %d bytes", limit)
}

// releaseBody releases the memory of the body.
func (x *exchange) releaseBody() {
	if x.charge != nil {
		x.charge.Close()
	}
}

// withBytes calls use with the bytes of a body. For a large body, which is copied, it waits
// for a decode slot and holds it for the call.
func (x *exchange) withBytes(body *bodybudget.Body, use func([]byte) error) error {
	if x.charge.Large() {
		release, err := x.server.bodies.AcquireDecoding(x.r.Context())
		if err != nil {
			httpbody.CloseAfterResponse(x.w)
			return err
		}
		defer release()
	}
	return use(body.Bytes())
}

// readBody reads the body of a call of a team. Its copies for another node are charged too.
func (x *exchange) readBody(team string) ([]byte, error) {
	body, err := x.receiveBody(team)
	if err != nil {
		return nil, err
	}
	var data []byte
	err = x.withBytes(body, func(joined []byte) error {
		data = joined
		return nil
	})
	if err != nil {
		return nil, err
	}
	return data, x.chargeForwarding(len(data))
}

// decodeBody reads a JSON body with at most maxValues values, checks it against the schema
// type def and decodes it into out.
func (x *exchange) decodeBody(def string, maxValues int, out msgp.Sizer) error {
	body, err := x.receiveBody(x.key.Team)
	if err != nil {
		return err
	}
	err = x.withBytes(body, func(data []byte) error {
		if valuesExceed(data, maxValues) {
			return errkind.New(errkind.InvalidArgument, "document", "the document has more than %d values", maxValues)
		}
		return document.Decode(data, def, out)
	})
	if err != nil {
		return err
	}
	return x.chargeForwarding(out.Msgsize())
}

// chargeForwarding replaces the charge for the body by one for forwarding a call of n bytes.
func (x *exchange) chargeForwarding(n int) error {
	err := x.charge.Resize(httpbody.ForwardedCopies * int64(n))
	if err != nil {
		httpbody.CloseAfterResponse(x.w)
	}
	return err
}

// valuesExceed reports whether a JSON text has more than limit values or names. The text need
// not be valid.
func valuesExceed(data []byte, limit int) bool {
	count := 0
	for c := range httpbody.Structure(data) {
		if c == '[' || c == '{' || c == ',' || c == ':' {
			count++
		}
		if count > limit {
			return true
		}
	}
	return false
}
