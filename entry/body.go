package entry

import (
	"io"
	"sync"
)

// maxReplay is how much of a request body is kept for another attempt, in
// bytes.
const maxReplay = 64 << 10

// replayBody keeps the beginning of a caller's body, so that an attempt which
// read no more than that can be followed by another.
type replayBody struct {
	mu       sync.Mutex
	source   io.Reader
	kept     []byte
	overrun  bool
	failed   error
	position int
	current  *attemptBody
}

func newReplayBody(source io.Reader) *replayBody {
	return &replayBody{source: source}
}

// replayable tells whether the body can be sent from its beginning again.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overrun
}

// rewind starts the body again and tells whether it could.
func (b *replayBody) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overrun {
		return false
	}
	b.position = 0
	b.current = nil
	return true
}

// attempt returns the body for one attempt; the former attempt's body reads no
// more.
func (b *replayBody) attempt() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &attemptBody{body: b}
	return b.current
}

// attemptBody is the body as one attempt reads it.
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
	if b.position < len(b.kept) {
		n := copy(data, b.kept[b.position:])
		b.position += n
		return n, nil
	}
	if b.failed != nil {
		return 0, b.failed
	}
	n, err := b.source.Read(data)
	b.keep(data[:n])
	if err != nil {
		b.failed = err
	}
	return n, err
}

func (b *replayBody) keep(data []byte) {
	if b.overrun {
		return
	}
	if len(b.kept)+len(data) > maxReplay {
		b.overrun = true
		b.kept = nil
		b.position = 0
		return
	}
	b.kept = append(b.kept, data...)
	b.position = len(b.kept)
}

// Close implements io.Closer.
func (a *attemptBody) Close() error { return nil }
