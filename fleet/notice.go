package fleet

import (
	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/codec"
)

// Notice tells the callers of an upstream that its load has changed. It is
// short, since it is sent often, and names its sender by the address that it
// comes from.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Running  uint32
	Waiting  uint32
	Limit    uint32
	// Slowdown is in tenths.
	Slowdown uint32
	Failing  bool
}

// NewNotice returns the Notice of a load.
func NewNotice(sequence uint64, load call.Load) Notice {
	return Notice{
		Sequence: sequence, Running: load.Running, Waiting: load.Waiting, Limit: load.Limit,
		Slowdown: uint32(load.Slowdown*10 + 0.5), Failing: load.Failing,
	}
}

// Load returns the load.
func (n Notice) Load() call.Load {
	return call.Load{
		Running: n.Running, Waiting: n.Waiting, Limit: n.Limit, Slowdown: float32(n.Slowdown) / 10, Failing: n.Failing,
	}
}

// Encode returns the datagram.
func (n Notice) Encode() ([]byte, error) { return codec.Marshal(n) }

// cborArrayType and cborTypeMask tell a CBOR array, as a Notice is, from a map, as a
// Beacon is.
const (
	cborArrayType = 0x80
	cborTypeMask  = 0xe0
)

// IsNotice tells whether a datagram carries a Notice.
func IsNotice(data []byte) bool { return len(data) > 0 && data[0]&cborTypeMask == cborArrayType }

// DecodeNotice reads a datagram.
func DecodeNotice(data []byte) (Notice, error) {
	var n Notice
	if err := codec.Unmarshal(data, &n); err != nil {
		return Notice{}, newError("decode", KindMalformed, err)
	}
	return n, nil
}
