package peerhttp

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// format is an encoding of bodies. CBOR takes about half of the bytes of JSON,
// which counts between data centres; processes of earlier releases speak only
// JSON.
type format int

const (
	formatJSON format = iota
	formatCBOR
)

// formatOf returns the format of a body. The bodies of all calls are maps, and no
// map in CBOR begins with a byte that can begin a JSON text.
func formatOf(body []byte) format {
	const firstMap, lastMap = 0xa0, 0xbf // first bytes of a map in CBOR
	if len(body) > 0 && body[0] >= firstMap && body[0] <= lastMap {
		return formatCBOR
	}
	return formatJSON
}

func (f format) marshal(value any) ([]byte, error) {
	if f == formatCBOR {
		return cbor.Marshal(value)
	}
	return json.Marshal(value)
}

func (f format) unmarshal(body []byte, target any) error {
	if f == formatCBOR {
		return cbor.Unmarshal(body, target)
	}
	return json.Unmarshal(body, target)
}
