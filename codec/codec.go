package codec

import "github.com/fxamacker/cbor/v2"

var encoder = newEncoder()

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Marshal returns the CBOR form of a value.
func Marshal(value any) ([]byte, error) { return encoder.Marshal(value) }

// Unmarshal parses the CBOR form of a value into target.
func Unmarshal(data []byte, target any) error { return cbor.Unmarshal(data, target) }
