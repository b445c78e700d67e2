package http1

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Reply sends the response to one request: exactly one of its methods must be
// called, once.
type Reply struct {
	conn   *serverConn
	method string
	// previousDone is closed when the previous response on the connection has been
	// sent, done when this one has been.
	previousDone <-chan struct{}
	done         chan struct{}
	// final means that the connection closes after this response.
	final bool
	// untilClose means that a body of unknown length ends with the connection, and not in
	// chunks, which callers with HTTP/1.0 can't read.
	untilClose bool
	answered   bool
}

// Send sends a response with a complete body. In one to HEAD, a Content-Length is that of
// header, if any.
func (r *Reply) Send(status int, header http.Header, body []byte) error {
	defer r.awaitTurn()()
	buffer := r.encodeHead(status, header, len(body)+256)
	if !bodyless(r.method, status) {
		buffer = appendField(buffer, "Content-Length", strconv.Itoa(len(body)))
	}
	buffer = append(buffer, "\r\n"...)
	if !bodyless(r.method, status) {
		buffer = append(buffer, body...)
	}
	_, err := r.conn.conn.Write(buffer)
	return r.closeOnError(err)
}

// Stream sends a response whose body is prefix followed by body, which is read
// while it is sent. length is the length of both in bytes, -1 if it is not known.
// If reading body fails, the connection is closed, so that the response is not
// taken for complete.
func (r *Reply) Stream(status int, header http.Header, length int64, prefix []byte, body io.Reader) error {
	defer r.awaitTurn()()
	buffer := r.encodeHead(status, header, len(prefix)+256)
	chunked := length < 0 && !r.untilClose
	switch {
	case length >= 0:
		buffer = appendField(buffer, "Content-Length", strconv.FormatInt(length, 10))
	case chunked:
		buffer = appendField(buffer, "Transfer-Encoding", "chunked")
	}
	buffer = append(buffer, "\r\n"...)
	if length < 0 && !chunked {
		// Only a reset shows that the body is not complete, also if the process ends.
		r.conn.setLinger(0)
	}
	if !chunked {
		buffer = append(buffer, prefix...)
	}
	if _, err := r.conn.conn.Write(buffer); err != nil {
		return r.closeOnError(err)
	}
	w := deadlineWriter{conn: r.conn}
	if !chunked {
		err := copyRaw(w, body)
		if err == nil && length < 0 {
			r.conn.setLinger(-1)
		}
		return r.closeOnError(err)
	}
	if err := writeChunk(w, prefix); err != nil {
		return r.closeOnError(err)
	}
	return r.closeOnError(copyChunked(w, body))
}

// Abort closes the connection without a response.
func (r *Reply) Abort() {
	defer r.awaitTurn()()
	_ = r.closeOnError(io.ErrClosedPipe)
}

// awaitTurn waits until the earlier responses of the connection have been sent. It
// returns a function to call when this one has been.
func (r *Reply) awaitTurn() func() {
	r.answered = true
	<-r.previousDone
	_ = r.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return func() {
		r.conn.requestDone(r.conn.server.limits().IdleTimeout)
		close(r.done)
	}
}

// encodeHead returns the head without its last line, in a buffer with room for about
// extra bytes more.
func (r *Reply) encodeHead(status int, header http.Header, extra int) []byte {
	buffer := make([]byte, 0, 512+extra)
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, http.StatusText(status)...)
	buffer = append(buffer, "\r\n"...)
	buffer = appendHeader(buffer, header)
	if r.conn.announceClose(r.final) {
		buffer = appendField(buffer, "Connection", "close")
	}
	return buffer
}

// closeOnError closes the connection if err is not nil, and returns err.
func (r *Reply) closeOnError(err error) error {
	if err != nil {
		r.conn.cancel()
		_ = r.conn.conn.Close()
	}
	return err
}

// deadlineWriter sets the full writeTimeout for each write of a streamed response.
type deadlineWriter struct {
	conn *serverConn
}

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	_ = w.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.conn.conn.Write(p)
}
