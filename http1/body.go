package http1

import (
	"bufio"
	"io"
	"net/http/httputil"
	"net/textproto"

	"github.com/rotisserie/eris"
)

// The lengths of bodies that are not framed by a Content-Length: one in chunks, and
// one that ends with the connection.
const (
	lengthChunked    = -1
	lengthUntilClose = -2
)

// Body is the body of a message. Read returns io.EOF only at the end of the
// complete body, and io.ErrUnexpectedEOF if it was truncated.
type Body struct {
	source    *bufio.Reader
	limited   *limitedReader
	reader    io.Reader
	length    int64
	remaining int64
	limit     int64
	complete  bool
	err       error
}

// newBody returns the body of a message that br reads from limited.
func newBody(br *bufio.Reader, limited *limitedReader, length, limit int64) *Body {
	b := &Body{source: br, limited: limited, length: length, remaining: length, limit: limit}
	switch length {
	case 0:
		b.complete, b.err = true, io.EOF
	case lengthChunked:
		b.reader = httputil.NewChunkedReader(br)
	default:
		b.reader = br
	}
	return b
}

// Complete reports whether the body has been read to its end.
func (b *Body) Complete() bool { return b.complete }

// Err returns why the body could not be read to its end, nil if no read has failed.
func (b *Body) Err() error {
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.length >= 0 && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	b.limit -= int64(n)
	b.remaining -= int64(n)
	switch {
	case b.limit < 0:
		b.err = newError("read body", KindBodyTooLarge, nil)
		return 0, b.err
	case b.length >= 0 && b.remaining == 0:
		err = io.EOF
	case err == io.EOF && b.length >= 0:
		err = io.ErrUnexpectedEOF
	case err == io.EOF && b.length == lengthChunked:
		err = b.readTrailer()
	}
	b.err = err
	b.complete = err == io.EOF
	return n, err
}

// maxTrailer bounds the trailer section of a body in chunks, in bytes.
const maxTrailer = 64 << 10

// readTrailer reads and discards the trailer fields after the last chunk.
func (b *Body) readTrailer() error {
	b.limited.remaining = maxTrailer
	defer func() { b.limited.remaining = unlimited }()
	_, err := readFields(textproto.NewReader(b.source))
	switch err {
	case nil:
		return io.EOF
	case io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

// Buffer reads up to limit bytes and reports whether they complete the body.
func (b *Body) Buffer(limit int) (data []byte, complete bool, err error) {
	if b.complete {
		return nil, true, nil
	}
	data = make([]byte, 0, min(int64(limit), max(b.length, initialBodyBuffer)))
	for len(data) < limit {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := b.Read(data[len(data):min(cap(data), limit)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
	return data, b.complete, nil
}

// initialBodyBuffer is the size of the first buffer for a body of unknown length,
// in bytes.
const initialBodyBuffer = 2 << 10

// errAnswered reports a read of a request's body after the request was answered.
var errAnswered = eris.New("the request was answered before its body was read")

// errEarlyResponse reports a response that ended before the request was sent
// completely.
var errEarlyResponse = eris.New("response received before the request was sent completely")
