package http1

import (
	"io"
	"strconv"
)

// copyBufferSize is the size of the buffer for a streamed body, in bytes.
const copyBufferSize = 16 << 10

func writeChunk(w io.Writer, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	buffer := make([]byte, 0, len(data)+16)
	buffer = strconv.AppendInt(buffer, int64(len(data)), 16)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, data...)
	buffer = append(buffer, "\r\n"...)
	_, err := w.Write(buffer)
	return err
}

// copyChunked writes a body in chunks, and the last chunk only if the body is
// complete.
func copyChunked(w io.Writer, body io.Reader) error {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if writeErr := writeChunk(w, buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// copyRaw writes a body without chunks.
func copyRaw(w io.Writer, body io.Reader) error {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
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
