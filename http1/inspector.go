package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// An Inspector checks the responses that net/http reads from a connection as a Pool checks
// those that it reads itself: heads, interim heads and trailer sections. net/http accepts
// statuses and field names that are malformed, and joins folded lines. An Inspector is safe
// for concurrent use.
type Inspector struct {
	mu      sync.Mutex
	section section
	// text is the head or the trailer section, or the line with the size of a chunk, as far as
	// it has come.
	text []byte
	// remaining is how much of a chunk is left, with the line end behind it, in bytes.
	remaining int64
	err       error
}

// section is a part of a response.
type section int

const (
	// sectionBody is a body that is not in chunks, and what follows any other body.
	sectionBody section = iota
	sectionHead
	sectionChunkSize
	sectionChunk
	sectionTrailer
)

// Begin tells that a request is about to be sent, so that a head comes next.
func (i *Inspector) Begin() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.enter(sectionHead)
}

func (i *Inspector) enter(s section) { i.section, i.text = s, i.text[:0] }

// Inspect checks the next bytes of the connection. With an error, which is the same from then
// on, it returns how many of them may be passed on: those before the end of the malformed
// section, without which no reader takes it for complete.
func (i *Inspector) Inspect(data []byte) (valid int, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for i.err == nil && valid < len(data) {
		rest := data[valid:]
		switch i.section {
		case sectionBody:
			return len(data), nil
		case sectionChunk:
			n := min(i.remaining, int64(len(rest)))
			valid += int(n)
			if i.remaining -= n; i.remaining == 0 {
				i.enter(sectionChunkSize)
			}
		default:
			line, _, ended := bytes.Cut(rest, []byte("\n"))
			i.text = append(i.text, line...)
			valid += len(line)
			switch {
			case len(i.text) > maxResponseHead:
				i.err = errHeadTooLarge
			case ended:
				i.text = append(i.text, '\n')
				if i.err = i.endLine(); i.err == nil {
					valid++
				}
			}
		}
	}
	return valid, i.err
}

// endLine handles the end of a line, which may be that of the section.
func (i *Inspector) endLine() error {
	if i.section == sectionChunkSize {
		i.endChunkSize()
		return nil
	}
	if last := i.text[bytes.LastIndexByte(i.text[:len(i.text)-1], '\n')+1:]; len(bytes.TrimRight(last, "\r\n")) > 0 {
		return nil
	}
	reader := bufio.NewReaderSize(bytes.NewReader(i.text), len(i.text))
	if i.section == sectionTrailer {
		i.enter(sectionBody)
		_, err := readFields(textproto.NewReader(reader))
		return err
	}
	response, err := readResponse(reader, &limitedReader{}, http.MethodGet)
	switch {
	case err != nil:
		return err
	case response.Status < http.StatusOK:
		i.enter(sectionHead)
	case response.Body.length == lengthChunked:
		i.enter(sectionChunkSize)
	default:
		i.enter(sectionBody)
	}
	return nil
}

// endChunkSize handles the end of a line with the size of a chunk. The reader of the
// connection fails at a malformed one itself.
func (i *Inspector) endChunkSize() {
	text, _, _ := strings.Cut(string(i.text), ";")
	size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 62)
	switch {
	case err != nil:
		i.enter(sectionBody)
	case size == 0:
		i.enter(sectionTrailer)
	default:
		i.enter(sectionChunk)
		i.remaining = int64(size) + int64(len("\r\n"))
	}
}
