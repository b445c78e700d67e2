package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/banyancross/banyancross/telemetry"
)

// explainCommand collects what several nodes logged about one request.
type explainCommand struct {
	Request string   `required:"" help:"The identity of the request."`
	Files   []string `arg:"" type:"existingfile" help:"The nodes' logs."`
}

// logLine is a log line about the request, as it is printed.
type logLine struct {
	time, host, text string
}

// Run implements the command.
func (command *explainCommand) Run(c console) error {
	var lines []logLine
	for _, name := range command.Files {
		matches, err := command.readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, matches...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line about request %q in %d files", command.Request, len(command.Files))
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	for _, line := range lines {
		if _, err := fmt.Fprintf(c.stdout, "%s %s %s\n", line.time, line.host, line.text); err != nil {
			return err
		}
	}
	return nil
}

func (command *explainCommand) readLog(name string) ([]logLine, error) {
	var lines []logLine
	err := telemetry.ReadJSONLines(name, func(object string) {
		if line, ok := command.match(object); ok {
			lines = append(lines, line)
		}
	})
	return lines, err
}

// names reports whether an identity is that of the request or of a call made while
// serving it, whose identity is the request's, a dot and a suffix.
func (command *explainCommand) names(id any) bool {
	text, _ := id.(string)
	return text == command.Request || strings.HasPrefix(text, command.Request+".")
}

// match parses a log line and reports whether it is about the request, a call made
// while serving it, or a response to either.
func (command *explainCommand) match(object string) (logLine, bool) {
	if !strings.Contains(object, command.Request) {
		return logLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(object), &fields) != nil {
		return logLine{}, false
	}
	if !command.names(fields["request"]) && !command.names(fields["response-to"]) {
		return logLine{}, false
	}
	var trail struct {
		Attempts telemetry.Trail `json:"trail"`
	}
	if json.Unmarshal([]byte(object), &trail) == nil && len(trail.Attempts) > 0 {
		fields["trail"] = trail.Attempts.Text()
	}
	line := logLine{time: fmt.Sprint(fields["time"]), host: fmt.Sprint(fields["host"])}
	for _, name := range []string{"time", "host", "level", "omitted"} {
		delete(fields, name)
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		if value := fmt.Sprint(fields[name]); value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	line.text = strings.Join(parts, " ")
	return line, true
}
