package telemetry

import (
	"bufio"
	"os"
	"strings"
)

// maxLine bounds a line of a log, in bytes: several times the longest trail.
const maxLine = 1 << 20

// ReadJSONLines hands each JSON object of a log to each, one a line. A log collector
// may have put something before it; lines without an object are skipped.
func ReadJSONLines(name string, each func(object string)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if at := strings.IndexByte(text, '{'); at >= 0 {
			each(text[at:])
		}
	}
	return scanner.Err()
}
