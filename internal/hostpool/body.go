package hostpool

import "io"

// watchedBody is the body of a response. It calls onError after a read that failed.
type watchedBody struct {
	io.ReadCloser
	onError func()
}

// watchBody calls onError if a read of body fails. The body of a response that switches the
// protocol stays as it is, because its connection does not return to the pool.
func watchBody(body io.ReadCloser, onError func()) io.ReadCloser {
	if _, switched := body.(io.Writer); switched {
		return body
	}
	return &watchedBody{body, onError}
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.onError()
	}
	return n, err
}
