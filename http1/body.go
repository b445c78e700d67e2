package http1

import (
	"bufio"
	"io"
	"net/http/httputil"
	"net/textproto"

	"github.com/rotisserie/eris"
)

// The lengths of bodies that are not framed by a number of bytes.
const (
	lengthChunked = -1
	lengthToEnd   = -2
)

// Body is the body of a message. Read returns io.EOF only behind the whole
// body, and io.ErrUnexpectedEOF when it was cut.
type Body struct {
	source *bufio.Reader
	reader io.Reader
	length int64
	left   int64
	limit  int64
	whole  bool
	err    error
}

func newBody(br *bufio.Reader, length, limit int64) *Body {
	b := &Body{source: br, length: length, left: length, limit: limit}
	switch length {
	case 0:
		b.whole, b.err = true, io.EOF
	case lengthChunked:
		b.reader = httputil.NewChunkedReader(br)
	default:
		b.reader = br
	}
	return b
}

// Complete tells that the body has been read to its end.
func (b *Body) Complete() bool { return b.whole }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.length >= 0 && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.reader.Read(p)
	b.limit -= int64(n)
	b.left -= int64(n)
	switch {
	case b.limit < 0:
		b.err = newError("read body", KindBodyTooLarge, nil)
		return 0, b.err
	case b.length >= 0 && b.left == 0:
		err = io.EOF
	case err == io.EOF && b.length >= 0:
		err = io.ErrUnexpectedEOF
	case err == io.EOF && b.length == lengthChunked:
		err = b.readTrailer()
	}
	b.err = err
	b.whole = err == io.EOF
	return n, err
}

// readTrailer reads the fields behind the last chunk, which are dropped.
func (b *Body) readTrailer() error {
	_, err := textproto.NewReader(b.source).ReadMIMEHeader()
	switch err {
	case nil:
		return io.EOF
	case io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

// Buffer reads up to limit bytes and tells whether they are the whole body.
func (b *Body) Buffer(limit int) (data []byte, whole bool, err error) {
	if b.whole {
		return nil, true, nil
	}
	data = make([]byte, 0, min(int64(limit), max(b.length, smallBody)))
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
	return data, b.whole, nil
}

// smallBody is the first buffer for a body of unknown length.
const smallBody = 2 << 10

// errAnsweredEarly tells that an answer came before the request was sent.
var errAnsweredEarly = eris.New("answered before the whole request was sent")
