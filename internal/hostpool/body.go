package hostpool

import "io"

// watchedBody is the body of a response. It calls onError after a read that failed, and onEnd
// once it was read or closed.
type watchedBody struct {
	io.ReadCloser
	onError, onEnd func()
}

// watchBody calls onError if a read of body fails, and onEnd after its last read or its close.
// The body of a response that switches the protocol stays as it is, because its connection does
// not return to the pool.
func watchBody(body io.ReadCloser, onError, onEnd func()) io.ReadCloser {
	if _, switched := body.(io.Writer); switched {
		onEnd()
		return body
	}
	return &watchedBody{body, onError, onEnd}
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.onEnd()
		if err != io.EOF {
			b.onError()
		}
	}
	return n, err
}

func (b *watchedBody) Close() error {
	b.onEnd()
	return b.ReadCloser.Close()
}
