package http1

import (
	"io"
	"strconv"
)

// copyBuffer is how much of a streamed body is held at a time, in bytes.
const copyBuffer = 16 << 10

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

// copyChunks writes all of a body in chunks, and the last chunk only if the
// body was whole.
func copyChunks(w io.Writer, body io.Reader) error {
	buffer := make([]byte, copyBuffer)
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

// copyPlain writes all of a body that is framed otherwise.
func copyPlain(w io.Writer, body io.Reader) error {
	buffer := make([]byte, copyBuffer)
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
