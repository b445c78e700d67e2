package telemetry

import (
	"bufio"
	"os"
	"strings"
)

// maxLineBytes limits a line of a log. It is several times the longest trail.
const maxLineBytes = 1 << 20

// ReadJSONLines calls handle with the JSON object on each line of the log file
// called name. Text before the object, as some log collectors add, and lines
// without an object are skipped.
func ReadJSONLines(name string, handle func(object string)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if at := strings.IndexByte(text, '{'); at >= 0 {
			handle(text[at:])
		}
	}
	return scanner.Err()
}
