package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Fault is a fault that a Backend injects into one request.
type Fault string

// The faults of a Backend.
const (
	// FaultDisconnect runs the request and closes the connection without an answer.
	FaultDisconnect Fault = "lost"
	// FaultHang runs the request and keeps the connection open without an answer.
	FaultHang Fault = "mute"
	// FaultCrash closes the server while it runs the request.
	FaultCrash Fault = "crash"
	// FaultShed rejects the request with status 503 and does not run it.
	FaultShed Fault = "shed"
	// FaultError runs the request and answers with status 500.
	FaultError Fault = "error"
	// FaultEarlyAnswer answers before it has read the body, and reads on.
	FaultEarlyAnswer Fault = "early"
	// FaultUnstamped answers without a Response-Stamp header.
	FaultUnstamped Fault = "unstamped"
	// FaultTruncate closes the connection before the end of the body.
	FaultTruncate Fault = "cut"
	// FaultTruncateHead closes the connection before the end of the head.
	FaultTruncateHead Fault = "head-cut"
	// FaultLongError answers with status 500 and a body far beyond any buffer.
	FaultLongError Fault = "long-error"
	// FaultRepeatRejection sends the rejection of an earlier health check before the
	// answer.
	FaultRepeatRejection Fault = "repeat-rejection"
	// FaultLongTrailer ends the body with a trailer section far beyond any limit.
	FaultLongTrailer Fault = "long-trailer"
	// FaultExtra sends a second answer after the answer.
	FaultExtra Fault = "extra"
	// FaultUnframed answers without a Content-Length header.
	FaultUnframed Fault = "unframed"
	// FaultRunUnavailable, FaultRunLimited and FaultRunTimeout run the request and answer with
	// a status that says that it has not run: 503, 429 and 408.
	FaultRunUnavailable Fault = "run-unavailable"
	FaultRunLimited     Fault = "run-limited"
	FaultRunTimeout     Fault = "run-timeout"
	// FaultEarlyReset, FaultEarlyResetClose, FaultOldEarlyReset and FaultOldEarlyResetClose send
	// a part of an answer without a length before the body of the request has been read, and
	// reset the connection: with HTTP/1.1 or HTTP/1.0, and without or with Connection: close.
	FaultEarlyReset         Fault = "early-reset"
	FaultEarlyResetClose    Fault = "early-reset-close"
	FaultOldEarlyReset      Fault = "old-early-reset"
	FaultOldEarlyResetClose Fault = "old-early-reset-close"
	// FaultMalformed sends bytes that are not an HTTP response.
	FaultMalformed Fault = "noise"
)

// The faults whose bytes go on until the caller closes the connection.
const (
	// FaultEndlessLine sends a status line.
	FaultEndlessLine Fault = "endless-line"
	// FaultEndlessHead sends header fields.
	FaultEndlessHead Fault = "endless-head"
	// FaultEndlessInterim sends interim responses.
	FaultEndlessInterim Fault = "endless-interim"
	// FaultEndlessExtension sends a chunk extension in the body.
	FaultEndlessExtension Fault = "endless-extension"
	// FaultEndlessChunks sends chunks in the body.
	FaultEndlessChunks Fault = "endless-chunks"
	// FaultEndlessTrailer sends a trailer section after the body.
	FaultEndlessTrailer Fault = "endless-trailer"
	// FaultEndlessStale sends a response to another request.
	FaultEndlessStale Fault = "endless-stale"
)

// endlessFault is what a fault sends first, and then again and again.
type endlessFault struct{ first, repeated string }

var endlessFaults = map[Fault]endlessFault{
	FaultEndlessLine:      {"HTTP/1.1 200 ", strings.Repeat("x", endlessBytes)},
	FaultEndlessHead:      {"HTTP/1.1 200 OK\r\n", strings.Repeat("Field: x\r\n", endlessBytes/10)},
	FaultEndlessInterim:   {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", endlessBytes/28)},
	FaultEndlessExtension: {chunkedHead + "1;x=", strings.Repeat("x", endlessBytes)},
	FaultEndlessChunks:    {chunkedHead, strings.Repeat("1\r\nx\r\n", endlessBytes/6)},
	FaultEndlessTrailer:   {chunkedHead + "0\r\n", strings.Repeat("Field: x\r\n", endlessBytes/10)},
	FaultEndlessStale:     {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", endlessBytes/6)},
}

const (
	// endlessBytes is the approximate number of bytes per write.
	endlessBytes = 4 << 10
	chunkedHead  = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// longBytes is the length of the body of FaultLongError and of the trailer section of
// FaultLongTrailer, which is longer than any reader may keep.
const longBytes = 8 << 20

// falseStatuses holds the statuses of requests that have run and are said not to have.
var falseStatuses = map[Fault]int{
	FaultRunUnavailable: http.StatusServiceUnavailable,
	FaultRunLimited:     http.StatusTooManyRequests,
	FaultRunTimeout:     http.StatusRequestTimeout,
}

// earlyResetHeads holds the starts of answers whose connection is reset.
var earlyResetHeads = map[Fault]string{
	FaultEarlyReset:         "HTTP/1.1 200 OK\r\n",
	FaultEarlyResetClose:    "HTTP/1.1 200 OK\r\nConnection: close\r\n",
	FaultOldEarlyReset:      "HTTP/1.0 200 OK\r\n",
	FaultOldEarlyResetClose: "HTTP/1.0 200 OK\r\nConnection: close\r\n",
}

// writeAnswer sends the answer. Faults of the framing bypass net/http, which would
// not write them.
func (b *Backend) writeAnswer(w http.ResponseWriter, r *http.Request, fault Fault, id string, body []byte) {
	if endless, ok := endlessFaults[fault]; ok {
		b.writeEndless(w, strings.ReplaceAll(endless.first, "{id}", id), endless.repeated)
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n", id)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch fault {
	case FaultDisconnect:
		panic(http.ErrAbortHandler)
	case FaultCrash:
		_ = b.server.Close()
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-r.Context().Done()
	case FaultError:
		w.Header().Set("Response-Stamp", "s")
		w.WriteHeader(http.StatusInternalServerError)
	case FaultRunUnavailable, FaultRunLimited, FaultRunTimeout:
		w.Header().Set("Response-Stamp", "s")
		w.WriteHeader(falseStatuses[fault])
	case FaultUnstamped:
		_, _ = w.Write(body)
	case FaultTruncate:
		b.writeRaw(w, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+9)+string(body))
	case FaultTruncateHead:
		b.writeRaw(w, head+length[:len(length)-3])
	case FaultLongError:
		b.writeRaw(w, strings.Replace(head, "200 OK", "500 Internal Server Error", 1)+
			fmt.Sprintf("Content-Length: %d\r\n\r\n", longBytes)+strings.Repeat("x", longBytes))
	case FaultRepeatRejection:
		b.writeRaw(w, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"+head+length+"\r\n"+string(body))
	case FaultLongTrailer:
		b.writeRaw(w, head+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)+
			strings.Repeat("Rest: x\r\n", longBytes/9))
	case FaultExtra:
		b.writeRaw(w, head+length+"\r\n"+string(body)+head+length+"\r\n"+string(body))
	case FaultUnframed:
		b.writeRaw(w, head+"\r\n"+string(body))
	case FaultMalformed:
		b.writeRaw(w, "this is no answer\r\n\r\n")
	default:
		w.Header().Set("Response-Stamp", "s")
		_, _ = w.Write(body)
	}
}

// answerEarly sends an answer, and then reads the body of the request.
func answerEarly(w http.ResponseWriter, r *http.Request, body []byte) {
	controller := http.NewResponseController(w)
	if err := controller.EnableFullDuplex(); err != nil {
		return
	}
	w.Header().Set("Response-Stamp", "s")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	_ = controller.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
}

// resetEarly sends a part of an answer, and resets the connection 15 to 30 ms later.
func (b *Backend) resetEarly(w http.ResponseWriter, head, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "%sRequest-Id: %s\r\nResponse-Stamp: s\r\n\r\npart", head, id)
	time.Sleep(15*time.Millisecond + rand.N(15*time.Millisecond))
	if repeat, ok := conn.(*repeatConn); ok {
		conn = repeat.Conn
	}
	// Without it, the close is a reset only if bytes of the request are unread.
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		panic(err)
	}
	_ = conn.Close()
}

// writeRaw writes text to the connection as it is, and closes the connection.
func (b *Backend) writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// writeEndless writes first and then repeated, until the caller closes the connection.
func (b *Backend) writeEndless(w http.ResponseWriter, first, repeated string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for text := first; err == nil; text = repeated {
		_, err = io.WriteString(conn, text)
	}
}
