package hop

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Gate answers attempts; the answer is never nil.
type Gate interface {
	Do(ctx context.Context, meta Meta, request *http.Request) *Answer
}

// Handler returns the HTTP handler through which other nodes reach the gate.
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

// WriteAnswer sends an answer to another node. An answer whose body is cut ends the
// stream with an error, so that the reader sees the cut too.
func WriteAnswer(w http.ResponseWriter, answer *Answer) {
	text, err := encode(answer.Meta)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if answer.Response == nil {
		w.Header().Set(answerHeader, text)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	defer func() { _ = answer.Response.Body.Close() }()
	w.Header().Set(answerHeader, text)
	if err := CopyResponse(w, answer.Response); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeTimeout is how long a reader may take for one piece of a streamed answer.
const writeTimeout = 30 * time.Second

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, 32<<10)
	return &buffer
}}

// CopyResponse sends a response's head, body and trailers to w. Every piece is flushed
// as it comes, unless the whole body fits in one.
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
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	buffer := *pooled
	controller := http.NewResponseController(w)
	whole := response.ContentLength >= 0 && response.ContentLength <= int64(len(buffer))
	if !whole {
		// A later answer on the same connection must not meet this deadline.
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if !whole {
				_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			}
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if !whole {
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
