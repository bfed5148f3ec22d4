package cellnode

import (
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
)

// Limits of a transfer of the configuration between nodes.
const (
	configPartBytes        = 32 << 10 // small enough that pings on the same link are not late
	maxConfigBytes         = 8 << 20
	minConfigPartTimeout   = 400 * time.Millisecond
	maxConfigPartTimeout   = 3200 * time.Millisecond
	maxConfigPartDoublings = 3
)

// configTransfer collects the parts of a configuration. All nodes hold the same document of a
// version, so a transfer goes on where it was interrupted, also from another node.
type configTransfer struct {
	version  int
	total    int // length of the document in bytes
	received []byte
	timeouts int // in a row
}

// call returns the call for the next part.
func (t *configTransfer) call() *api.ConfigDocumentCall {
	return &api.ConfigDocumentCall{Version: t.version, Offset: len(t.received), PartBytes: configPartBytes}
}

// timeout returns the time limit of the next call. It grows after calls without a response, as on
// a link that others use too.
func (t *configTransfer) timeout() time.Duration {
	return min(minConfigPartTimeout<<min(t.timeouts, maxConfigPartDoublings), maxConfigPartTimeout)
}

// add adds a part. It reports whether the document is complete.
func (t *configTransfer) add(part *api.ConfigDocument) (bool, error) {
	t.timeouts = 0
	if part.TotalBytes == 0 { // the whole document, from a node of an earlier release
		t.version, t.total, t.received = part.Version, len(part.Document), part.Document
		return true, nil
	}
	if part.Offset == 0 {
		t.version, t.total, t.received = part.Version, part.TotalBytes, nil
	}
	if err := t.check(part); err != nil {
		*t = configTransfer{}
		return false, err
	}
	t.received = append(t.received, part.Document...)
	return len(t.received) == t.total, nil
}

// check returns an error if a part does not continue the document.
func (t *configTransfer) check(part *api.ConfigDocument) error {
	end := part.Offset + len(part.Document)
	continues := part.Version == t.version && part.TotalBytes == t.total && part.Offset == len(t.received)
	if !continues || len(part.Document) == 0 || end > t.total || t.total > maxConfigBytes {
		return errors.Errorf("part of %d bytes at %d of version %d with %d bytes, after %d bytes of version %d with %d bytes",
			len(part.Document), part.Offset, part.Version, part.TotalBytes, len(t.received), t.version, t.total)
	}
	return nil
}

// configPart returns the part of a document that a call asks for.
func configPart(document *api.ConfigDocument, call *api.ConfigDocumentCall) *api.ConfigDocument {
	if call.PartBytes <= 0 {
		return document
	}
	length := len(document.Document)
	offset := call.Offset
	if call.Version != document.Version || offset < 0 || offset >= length {
		offset = 0
	}
	end := min(length, offset+min(call.PartBytes, length))
	return &api.ConfigDocument{
		Version: document.Version, Offset: offset, TotalBytes: length, Document: document.Document[offset:end],
	}
}
