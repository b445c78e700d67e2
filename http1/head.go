package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Request is a received request.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   *Body
	// Content is the body, or its start if it is too long to be buffered.
	Content []byte
	// Rest is the part of a long body after Content, nil if there is none. It can be
	// read until the request is answered.
	Rest io.Reader
	// keepAlive means that the sender allows further requests on the connection.
	keepAlive bool
	// chunks means that the sender can read a response in chunks.
	chunks bool
}

// Path returns the path of the target, without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is a received response.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
	// Length is the length of the body in bytes, -1 if the head does not state it.
	Length int64
	// keepAlive means that the server allows further requests on the connection.
	keepAlive bool
	conn      *clientConn
	// connection and exchange stay after Release.
	connection, exchange uint64
}

// Connection returns the number of the connection that the response came on, in the
// order in which its pool opened them, from 1.
func (r *Response) Connection() uint64 { return r.connection }

// Exchange returns how many requests that connection had carried when the response came.
func (r *Response) Exchange() uint64 { return r.exchange }

// limitedReader bounds how much of source is read for the head or the trailer section
// of a message.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

// unlimited is more bytes than any connection carries.
const unlimited = 1 << 62

var errHeadTooLarge = eris.New("message head or trailer section exceeds its limit")

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// readRequest reads the head of a request and returns it with a Body for the rest.
func readRequest(br *bufio.Reader, limited *limitedReader, maxBody int64) (*Request, error) {
	tp := textproto.NewReader(br)
	line, err := tp.ReadLine()
	if err != nil {
		return nil, classifyHeadError(err)
	}
	method, rest, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || !validMethod(method) || (proto != "HTTP/1.1" && proto != "HTTP/1.0") || !validTarget(target) {
		return nil, newError("read request", KindMalformed, eris.New("malformed request line"))
	}
	mime, err := tp.ReadMIMEHeader()
	if err != nil {
		return nil, classifyHeadError(err)
	}
	header := http.Header(mime)
	if !validFieldNames(header) {
		return nil, newError("read request", KindMalformed, eris.New("invalid field name"))
	}
	r := &Request{Method: method, Target: target, Header: header, chunks: proto == "HTTP/1.1"}
	if len(header["Host"]) != 1 {
		return nil, newError("read request", KindMalformed, eris.New("not exactly one Host field"))
	}
	r.Host = header.Get("Host")
	header.Del("Host")
	r.keepAlive = proto == "HTTP/1.1" && !hasToken(header, "Connection", "close")
	length, err := bodyLength(header, proto)
	if err != nil {
		return nil, err
	}
	if length == lengthNone {
		length = 0
	}
	if length > maxBody {
		return nil, newError("read request", KindBodyTooLarge, nil)
	}
	r.Body = newBody(br, limited, length, maxBody)
	return r, nil
}

// awaitsContinue reports whether the sender waits for an interim response before it sends
// the body.
func (r *Request) awaitsContinue() bool {
	return r.chunks && !r.Body.Complete() && hasToken(r.Header, "Expect", "100-continue")
}

// classifyHeadError returns an Error for a head that is too large or malformed, and
// other errors unchanged.
func classifyHeadError(err error) error {
	if errors.Is(err, errHeadTooLarge) {
		return newError("read head", KindHeaderTooLarge, nil)
	}
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		return newError("read head", KindMalformed, err)
	}
	return err
}

func validMethod(method string) bool {
	for i := 0; i < len(method); i++ {
		if c := method[i]; (c < 'A' || c > 'Z') && c != '-' {
			return false
		}
	}
	return method != ""
}

// validFieldNames reports whether all field names are tokens. Other implementations
// may ignore a space in a field name, and so frame the message differently.
func validFieldNames(header http.Header) bool {
	for name := range header {
		if !validFieldName(name) {
			return false
		}
	}
	return true
}

func validFieldName(name string) bool {
	for i := 0; i < len(name); i++ {
		if c := name[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return name != ""
}

// validFieldValue reports whether a value has no control bytes but tabs.
func validFieldValue(value string) bool {
	for i := 0; i < len(value); i++ {
		if c := value[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}

func validTarget(target string) bool {
	if target == "" || (target[0] != '/' && target != "*") {
		return false
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return true
}

// lengthNone is the length of a body for which the head gives no framing.
const lengthNone = -3

// bodyLength returns the length of the body in bytes, lengthChunked or lengthNone.
func bodyLength(header http.Header, proto string) (int64, error) {
	lengths, encodings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case len(encodings) > 0 && len(lengths) > 0:
		return 0, newError("determine body length", KindMalformed, eris.New("both Content-Length and Transfer-Encoding"))
	case len(encodings) > 1 || len(lengths) > 1:
		return 0, newError("determine body length", KindMalformed, eris.New("repeated Content-Length or Transfer-Encoding"))
	case len(encodings) == 1:
		if !strings.EqualFold(encodings[0], "chunked") || proto == "HTTP/1.0" {
			return 0, newError("determine body length", KindMalformed, eris.Errorf("unsupported Transfer-Encoding %q", encodings[0]))
		}
		return lengthChunked, nil
	case len(lengths) == 1:
		length, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || strings.HasPrefix(lengths[0], "+") {
			return 0, newError("determine body length", KindMalformed, eris.Errorf("invalid Content-Length %q", lengths[0]))
		}
		return int64(length), nil
	}
	return lengthNone, nil
}

// readResponse reads the head of a response to a request of the given method.
func readResponse(br *bufio.Reader, limited *limitedReader, method string) (*Response, error) {
	tp := textproto.NewReader(br)
	line, err := tp.ReadLine()
	if err != nil {
		return nil, err
	}
	proto, rest, ok := strings.Cut(line, " ")
	code, phrase, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 || status > 599 || (proto != "HTTP/1.1" && proto != "HTTP/1.0") || containsStatusLine(phrase) {
		return nil, newError("read response", KindMalformed, eris.New("malformed status line"))
	}
	if status == http.StatusSwitchingProtocols {
		// No request asks for another protocol, and what follows would be in it.
		return nil, newError("read response", KindMalformed, eris.New("switch to another protocol"))
	}
	header, err := readFields(tp)
	if err != nil {
		return nil, err
	}
	r := &Response{Status: status, Header: header}
	r.keepAlive = proto == "HTTP/1.1" && !hasToken(r.Header, "Connection", "close")
	length, err := bodyLength(r.Header, proto)
	if err != nil {
		return nil, err
	}
	if bodyless(method, status) {
		length = 0
	}
	r.Length = length
	if length == lengthNone {
		length, r.keepAlive = lengthUntilClose, false
	}
	r.Length = max(length, -1)
	r.Body = newBody(br, limited, length, unlimited)
	return r, nil
}

// readFields reads the fields of a response's head or of a trailer section, up to the empty
// line. A folded line is malformed: it may be a field whose name starts with a space.
func readFields(tp *textproto.Reader) (http.Header, error) {
	header := http.Header{}
	for {
		line, err := tp.ReadLine()
		if err != nil {
			return nil, classifyHeadError(err)
		}
		if line == "" {
			return header, nil
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !validFieldName(name) || !validFieldValue(value) {
			return nil, newError("read fields", KindMalformed, eris.New("invalid field"))
		}
		if containsStatusLine(value) {
			return nil, newError("read fields", KindMalformed, eris.New("status line within the head"))
		}
		header.Add(name, strings.Trim(value, " \t"))
	}
}

// containsStatusLine reports whether text contains the start of a status line. If a response
// breaks off within its head, that of the next one on the connection stands in the middle
// of a line, and the head would mix both.
func containsStatusLine(text string) bool {
	for {
		_, rest, found := strings.Cut(text, "HTTP/1.")
		if !found {
			return false
		}
		// The code ends with a space or the line, unlike an address in a Via field.
		if len(rest) >= 5 && rest[1] == ' ' && isDigit(rest[0]) && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) &&
			(len(rest) == 5 || rest[5] <= ' ') {
			return true
		}
		text = rest
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// bodyless reports whether a response has no body, whatever its head says.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}

// hasToken reports whether a comma-separated header field contains a token.
func hasToken(header http.Header, name, token string) bool {
	for _, line := range header[name] {
		for _, part := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// appendHeader appends header fields in wire format.
func appendHeader(buffer []byte, header http.Header) []byte {
	for name, values := range header {
		for _, value := range values {
			buffer = appendField(buffer, name, value)
		}
	}
	return buffer
}

func appendField(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}
