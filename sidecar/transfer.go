package sidecar

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/locality"
)

// transferKind is a reason for which bytes are transferred to or from nodes in
// other failure domains.
type transferKind int

// The kinds of transfers.
const (
	transferHeads transferKind = iota
	transferRequestBodies
	transferResponseBodies
	// transferNested counts all bytes of nested calls.
	transferNested
	// transferRefused counts all bytes of attempts that did not run.
	transferRefused
	transferBeacons
	transferNotices
	// transferDocuments counts configurations and rosters.
	transferDocuments
	// transferQuotas counts the messages between entry nodes and owners of organisations.
	transferQuotas
	transferKinds
)

// String returns the kebab-case name.
func (k transferKind) String() string {
	return [...]string{
		"heads", "request-bodies", "response-bodies", "nested-calls", "refused-calls", "beacons", "notices", "documents", "quotas",
	}[k]
}

// transferLogRounds is the number of gauge updates between two log lines about
// transfers.
const transferLogRounds = 10

// transfers counts the bytes that this node exchanges with nodes in other failure
// domains, each at the node that initiates the exchange; it is safe for concurrent
// use.
type transfers struct {
	// way returns the way to a failure domain.
	way   func(failureDomain string) locality.Way
	bytes [transferKinds]atomic.Int64
	// regionBytes holds the part of bytes that was exchanged with other regions.
	regionBytes [transferKinds]atomic.Int64
}

// add counts bytes exchanged with a node in a failure domain, unless it is the own one.
func (t *transfers) add(failureDomain string, kind transferKind, bytes int) {
	switch t.way(failureDomain) {
	case locality.Within:
		return
	case locality.BetweenRegions:
		t.regionBytes[kind].Add(int64(bytes))
	}
	t.bytes[kind].Add(int64(bytes))
}

// addCall counts an attempt at a gate in a failure domain. Bodies of unknown length are left out.
func (t *transfers) addCall(failureDomain string, meta hop.Meta, header http.Header, body int, answer *egress.Answer) {
	heads, response := headBytes(header), 0
	if answer.Response != nil {
		heads += headBytes(answer.Response.Header)
		response = int(max(answer.Response.Length, 0))
	}
	switch {
	case answer.Response == nil:
		t.add(failureDomain, transferRefused, heads+body)
	case meta.Depth > 0:
		t.add(failureDomain, transferNested, heads+body+response)
	default:
		t.add(failureDomain, transferHeads, heads)
		t.add(failureDomain, transferRequestBodies, body)
		t.add(failureDomain, transferResponseBodies, response)
	}
}

// fieldOverhead is the length of the characters around a header field.
const fieldOverhead = len(": \r\n")

// headBytes returns the encoded length of header fields.
func headBytes(header http.Header) int {
	length := 0
	for name, values := range header {
		for _, value := range values {
			length += len(name) + len(value) + fieldOverhead
		}
	}
	return length
}

// updateTransferGauges updates the gauges of transfers.
func (s *Sidecar) updateTransferGauges() {
	for kind := range transferKinds {
		s.gauge("domain_transfer_bytes_"+strings.ReplaceAll(kind.String(), "-", "_"), float64(s.transfers.bytes[kind].Load()))
		s.gauge("region_transfer_bytes_"+strings.ReplaceAll(kind.String(), "-", "_"), float64(s.transfers.regionBytes[kind].Load()))
	}
}

// logTransfers logs the bytes transferred so far, by kind.
func (s *Sidecar) logTransfers() {
	fields, regions := []any{"event", "transfers"}, int64(0)
	for kind := range transferKinds {
		fields = append(fields, kind.String(), s.transfers.bytes[kind].Load())
		regions += s.transfers.regionBytes[kind].Load()
	}
	if regions > 0 {
		fields = append(fields, "between-regions", regions)
	}
	_ = level.Info(s.logger).Log(fields...)
}
