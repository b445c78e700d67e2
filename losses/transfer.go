package losses

import (
	"encoding/json"
	"strings"
)

// bytesPerMegabyte converts the bytes in the logs to the unit of the table.
const bytesPerMegabyte = 1e6

// transferEvent is the event of log lines about transfers between failure domains.
const transferEvent = "transfers"

// transferTotals sums the transfers that the nodes of a day log. Each line holds a
// process's totals so far.
type transferTotals struct {
	// latest holds the latest totals of each host's process, by kind.
	latest map[string]map[string]float64
	// ended holds the totals of processes that have ended, by kind.
	ended map[string]float64
}

func newTransferTotals() *transferTotals {
	return &transferTotals{latest: map[string]map[string]float64{}, ended: map[string]float64{}}
}

// addLine adds a log line; lines about other events change nothing.
func (t *transferTotals) addLine(object string) {
	if !strings.Contains(object, transferEvent) {
		return
	}
	var fields map[string]any
	if json.Unmarshal([]byte(object), &fields) != nil || fields["event"] != transferEvent {
		return
	}
	host, _ := fields["host"].(string)
	totals := map[string]float64{}
	restarted := false
	for name, value := range fields {
		if bytes, ok := value.(float64); ok {
			totals[name] = bytes
			restarted = restarted || bytes < t.latest[host][name]
		}
	}
	if restarted {
		t.end(host)
	}
	t.latest[host] = totals
}

// end adds the totals of a host's process to those that have ended.
func (t *transferTotals) end(host string) {
	for name, bytes := range t.latest[host] {
		t.ended[name] += bytes
	}
}

// megabytes returns the transfers of all processes, by kind.
func (t *transferTotals) megabytes() map[string]float64 {
	sums := map[string]float64{}
	for name, bytes := range t.ended {
		sums[name] += bytes / bytesPerMegabyte
	}
	for _, totals := range t.latest {
		for name, bytes := range totals {
			sums[name] += bytes / bytesPerMegabyte
		}
	}
	return sums
}
