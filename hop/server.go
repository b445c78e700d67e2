package hop

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

// Gate is the admission gate in front of an upstream. Do returns the answer to an
// attempt, which is never nil.
type Gate interface {
	Do(ctx context.Context, meta Meta, request *http.Request) *Answer
}

// Handler returns the HTTP handler that passes attempts of other nodes to the gate.
func Handler(gate Gate) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var meta Meta
		if err := decode(r.Header.Get(callHeader), &meta); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Header.Del(callHeader)
		ctx, cancel := context.WithTimeout(r.Context(), meta.Remaining)
		defer cancel()
		WriteAnswer(w, gate.Do(ctx, meta, r))
	})
}

// WriteAnswer sends an answer to another node. If the body breaks off, it panics
// with http.ErrAbortHandler, which resets the stream, so that the reader does not
// take the body for complete. A response whose status is no final one is not sent.
func WriteAnswer(w http.ResponseWriter, answer *Answer) {
	if answer.Response != nil && !isFinal(answer.Response.StatusCode) {
		_ = answer.Response.Body.Close()
		answer = &Answer{Meta: answer.Meta}
		answer.Meta.Outcome, answer.Meta.Reason = call.Unknown, call.ReasonCut
	}
	value, err := encode(answer.Meta)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if answer.Response == nil {
		w.Header().Set(answerHeader, value)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	defer func() { _ = answer.Response.Body.Close() }()
	w.Header().Set(answerHeader, value)
	if err := CopyResponse(w, answer.Response); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// isFinal reports whether a response with the status answers a request.
func isFinal(status int) bool { return status >= http.StatusOK && status <= 599 }

// writeTimeout bounds each write of a streamed response.
const writeTimeout = 30 * time.Second

var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 32<<10)
	return &buffer
}}

// CopyResponse writes a response's header, body and trailers to w. Each piece of
// the body is flushed at once, unless the whole body fits in one buffer.
func CopyResponse(w http.ResponseWriter, response *http.Response) error {
	header := w.Header()
	StripConnection(response.Header)
	for name, values := range response.Header {
		header[name] = values
	}
	announced := len(response.Trailer)
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		if announced == 0 {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
	return nil
}

func copyBody(w http.ResponseWriter, response *http.Response) error {
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := *pooled
	controller := http.NewResponseController(w)
	fitsBuffer := response.ContentLength >= 0 && response.ContentLength <= int64(len(buffer))
	if !fitsBuffer {
		// The deadline must not apply to a later response on the same connection.
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if !fitsBuffer {
				_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			}
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if !fitsBuffer {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
