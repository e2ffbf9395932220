package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// MaxPacket is the maximum size of a datagram in bytes. It fits an Ethernet frame
// with IPv6 and UDP headers, so that no datagram is fragmented.
const MaxPacket = 1400

const (
	macBytes           = sha256.Size
	maxNameBytes       = 64
	maxUpdates         = 16 // records carried by one datagram
	maxExchangeMembers = 10000
	encodedReserve     = 16 // bytes of CBOR framing left free for the list of updates
)

// Errors for datagrams that are dropped. ErrMalformed is also returned for
// messages of an exchange over HTTP.
var (
	ErrPacketSize = errors.New("membership: datagram size out of range")
	ErrPacketAuth = errors.New("membership: datagram is not authenticated by the fleet token")
	ErrMalformed  = errors.New("membership: message is malformed")
)

type kind uint8

const (
	kindPing kind = iota + 1
	kindAck
	kindPingRequest
	kindUpdates // carries updates only; not acknowledged
)

type message struct {
	Kind     kind        `cbor:"1,keyasint"`
	Sequence uint64      `cbor:"2,keyasint,omitempty"`
	From     Member      `cbor:"3,keyasint"`
	Target   string      `cbor:"4,keyasint,omitempty"` // name of the member that is probed
	Updates  []Member    `cbor:"5,keyasint,omitempty"`
	Highest  heldVersion `cbor:"6,keyasint"` // highest catalog version known in the fleet
}

// heldVersion is a catalog version and the process that holds it.
type heldVersion struct {
	Name        string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Version     uint64 `cbor:"3,keyasint,omitempty"`
}

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: maxExchangeMembers,
		MaxMapPairs:      64,
	}.DecMode()
	if err != nil {
		panic("membership: decoder options: " + err.Error())
	}
	return mode
}

func seal(key []byte, m message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return append(mac.Sum(make([]byte, 0, macBytes+len(body))), body...), nil
}

func open(key, packet []byte) (message, error) {
	if len(packet) <= macBytes || len(packet) > MaxPacket {
		return message{}, ErrPacketSize
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(packet[macBytes:])
	if !hmac.Equal(mac.Sum(nil), packet[:macBytes]) {
		return message{}, ErrPacketAuth
	}
	return decodeMessage(packet[macBytes:])
}

func decodeMessage(body []byte) (message, error) {
	var m message
	if err := decodeMode.Unmarshal(body, &m); err != nil {
		return message{}, ErrMalformed
	}
	if m.Kind < kindPing || m.Kind > kindUpdates || len(m.Updates) > maxUpdates || len(m.Target) > maxNameBytes {
		return message{}, ErrMalformed
	}
	if !valid(m.From) {
		return message{}, ErrMalformed
	}
	for _, u := range m.Updates {
		if !valid(u) {
			return message{}, ErrMalformed
		}
	}
	return m, nil
}

// valid reports whether a record received from another member may be stored.
func valid(m Member) bool {
	if _, known := stateOrder[m.State]; !known {
		return false
	}
	for _, text := range []string{m.Name, m.Region, m.DataCentre} {
		if text == "" || len(text) > maxNameBytes {
			return false
		}
	}
	for _, address := range []string{m.CallerAddress, m.PeerAddress, m.GossipAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return false
		}
	}
	return m.Incarnation > 0 && m.Load >= 0
}
