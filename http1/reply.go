package http1

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Reply is the answer to one request. One of its methods is called once.
type Reply struct {
	conn         *serverConn
	method       string
	previousDone <-chan struct{}
	done         chan struct{}
	final        bool
	answered     bool
}

// Send answers with a whole body.
func (r *Reply) Send(status int, header http.Header, body []byte) error {
	defer r.awaitTurn()()
	buffer := r.encodeHead(status, header, len(body)+256)
	if !bodyless(http.MethodGet, status) {
		buffer = appendField(buffer, "Content-Length", strconv.Itoa(len(body)))
	}
	buffer = append(buffer, "\r\n"...)
	if !bodyless(r.method, status) {
		buffer = append(buffer, body...)
	}
	_, err := r.conn.conn.Write(buffer)
	return r.closeOnError(err)
}

// Stream answers with a body that is read while it is sent; a length of -1 says
// that it is not known. If the body fails, the connection is cut, so that the
// answer does not look whole.
func (r *Reply) Stream(status int, header http.Header, length int64, prefix []byte, body io.Reader) error {
	defer r.awaitTurn()()
	buffer := r.encodeHead(status, header, len(prefix)+256)
	if length >= 0 {
		buffer = appendField(buffer, "Content-Length", strconv.FormatInt(length, 10))
	} else {
		buffer = appendField(buffer, "Transfer-Encoding", "chunked")
	}
	buffer = append(buffer, "\r\n"...)
	if length >= 0 {
		buffer = append(buffer, prefix...)
	}
	if _, err := r.conn.conn.Write(buffer); err != nil {
		return r.closeOnError(err)
	}
	w := deadlineWriter{conn: r.conn}
	if length >= 0 {
		return r.closeOnError(copyRaw(w, body))
	}
	if err := writeChunk(w, prefix); err != nil {
		return r.closeOnError(err)
	}
	return r.closeOnError(copyChunked(w, body))
}

// Abort ends the connection without an answer.
func (r *Reply) Abort() {
	defer r.awaitTurn()()
	_ = r.closeOnError(io.ErrClosedPipe)
}

// awaitTurn waits for the earlier answers of the connection, and returns what ends
// this one.
func (r *Reply) awaitTurn() func() {
	r.answered = true
	<-r.previousDone
	_ = r.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return func() {
		r.conn.requestDone(r.conn.server.limits().IdleTimeout)
		close(r.done)
	}
}

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

// closeOnError cuts the connection after a failed write.
func (r *Reply) closeOnError(err error) error {
	if err != nil {
		r.conn.cancel()
		_ = r.conn.conn.Close()
	}
	return err
}

// deadlineWriter gives each write of a long answer the full time.
type deadlineWriter struct {
	conn *serverConn
}

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	_ = w.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.conn.conn.Write(p)
}
