package fleet

import (
	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/codec"
)

// Notice updates the load of an upstream at the nodes that send it calls. It is
// sent often and therefore short: its source address identifies the sender.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Running  uint32
	Waiting  uint32
	Limit    uint32
	// Slowdown is the slowdown in tenths.
	Slowdown uint32
	Failing  bool
}

// NewNotice returns a Notice of the load.
func NewNotice(sequence uint64, load call.Load) Notice {
	return Notice{
		Sequence: sequence, Running: load.Running, Waiting: load.Waiting, Limit: load.Limit,
		Slowdown: uint32(load.Slowdown*10 + 0.5), Failing: load.Failing,
	}
}

// Load returns the load that the notice carries.
func (n Notice) Load() call.Load {
	return call.Load{
		Running: n.Running, Waiting: n.Waiting, Limit: n.Limit, Slowdown: float32(n.Slowdown) / 10, Failing: n.Failing,
	}
}

// Encode returns the datagram of a notice.
func (n Notice) Encode() ([]byte, error) { return codec.Marshal(n) }

// cborArrayType is the major type, and cborTypeMask its bits in the first byte, by
// which a Notice, a CBOR array, differs from a Beacon, a map.
const (
	cborArrayType = 0x80
	cborTypeMask  = 0xe0
)

// IsNotice reports whether a datagram carries a Notice.
func IsNotice(data []byte) bool { return len(data) > 0 && data[0]&cborTypeMask == cborArrayType }

// DecodeNotice reads the datagram of a notice.
func DecodeNotice(data []byte) (Notice, error) {
	var n Notice
	if err := codec.Unmarshal(data, &n); err != nil {
		return Notice{}, malformed("decode", err)
	}
	return n, nil
}
