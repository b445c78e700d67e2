package entry

import (
	"io"
	"sync"
)

// maxReplayBytes is how much of a request body is buffered for another attempt.
const maxReplayBytes = 64 << 10

// replayBody buffers the beginning of a caller's body, so that an attempt which
// read no more than that can be followed by another.
type replayBody struct {
	mu         sync.Mutex
	source     io.Reader
	buffered   []byte
	overflowed bool
	readErr    error
	position   int
	current    *attemptBody
}

func newReplayBody(source io.Reader) *replayBody {
	return &replayBody{source: source}
}

// replayable reports whether the body can be read again from its beginning.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed
}

// rewind returns to the beginning of the body and reports whether it could.
func (b *replayBody) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflowed {
		return false
	}
	b.position = 0
	b.current = nil
	return true
}

// newAttemptBody returns the body for one attempt; reads from the previous
// attempt's body fail from then on.
func (b *replayBody) newAttemptBody() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &attemptBody{body: b}
	return b.current
}

// attemptBody is the body that one attempt reads.
type attemptBody struct {
	body *replayBody
}

// Read implements io.Reader.
func (a *attemptBody) Read(data []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != a {
		return 0, io.ErrClosedPipe
	}
	if b.position < len(b.buffered) {
		n := copy(data, b.buffered[b.position:])
		b.position += n
		return n, nil
	}
	if b.readErr != nil {
		return 0, b.readErr
	}
	n, err := b.source.Read(data)
	b.buffer(data[:n])
	if err != nil {
		b.readErr = err
	}
	return n, err
}

func (b *replayBody) buffer(data []byte) {
	if b.overflowed {
		return
	}
	if len(b.buffered)+len(data) > maxReplayBytes {
		b.overflowed = true
		b.buffered = nil
		b.position = 0
		return
	}
	b.buffered = append(b.buffered, data...)
	b.position = len(b.buffered)
}

// Close implements io.Closer.
func (a *attemptBody) Close() error { return nil }
