package claims

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// op names a command of the state machine.
type op uint8

const (
	opClaim op = iota + 1
	opComplete
	opRelease
	opUnknown
	opLease
)

// stamp is the time of the leader that proposes a command. Wall time decides
// on the age of keys. Monotonic time decides on leases and counts from the
// start of the source, so readings of two sources are never compared.
type stamp struct {
	WallMS int64  `cbor:"1,keyasint"`
	MonoMS int64  `cbor:"2,keyasint"`
	Source string `cbor:"3,keyasint"`
}

// command is an entry of the log of a claim group.
type command struct {
	Op      op            `cbor:"1,keyasint"`
	At      stamp         `cbor:"2,keyasint"`
	Plan    string        `cbor:"3,keyasint,omitempty"`
	Key     uuid.UUID     `cbor:"4,keyasint,omitempty"`
	Digest  [32]byte      `cbor:"5,keyasint,omitempty"`
	Attempt string        `cbor:"6,keyasint,omitempty"`
	Holder  string        `cbor:"7,keyasint,omitempty"`
	Answer  *storedAnswer `cbor:"8,keyasint,omitempty"`
	Lease   string        `cbor:"9,keyasint,omitempty"`
	TTLMS   int64         `cbor:"10,keyasint,omitempty"`
}

// storedAnswer is an Answer in the log and in snapshots. Header values are
// bytes, because HTTP does not limit them to UTF-8.
type storedAnswer struct {
	Status  int                          `cbor:"1,keyasint"`
	Header  map[string][]cbor.ByteString `cbor:"2,keyasint,omitempty"`
	Body    []byte                       `cbor:"3,keyasint,omitempty"`
	Omitted bool                         `cbor:"4,keyasint,omitempty"`
}

// outcome is the result of a command.
type outcome struct {
	State  State         `cbor:"1,keyasint"`
	Holder string        `cbor:"2,keyasint,omitempty"`
	Answer *storedAnswer `cbor:"3,keyasint,omitempty"`
	OK     bool          `cbor:"4,keyasint,omitempty"` // the command took effect or had taken effect before
}

// id identifies a claim. Keys of two plans never meet.
type id struct {
	Plan string    `cbor:"1,keyasint"`
	Key  uuid.UUID `cbor:"2,keyasint"`
}

func (c command) id() id { return id{Plan: c.Plan, Key: c.Key} }

func encode(v any) []byte {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		panic("claims: value cannot be encoded: " + err.Error())
	}
	return encoded
}

func decodeOutcome(encoded []byte) (outcome, error) {
	var o outcome
	err := cbor.Unmarshal(encoded, &o)
	return o, err
}

func storeAnswer(a Answer) *storedAnswer {
	stored := &storedAnswer{Status: a.Status, Body: a.Body, Omitted: a.BodyOmitted}
	stored.Header = convertValues(a.Header, func(v string) cbor.ByteString { return cbor.ByteString(v) })
	return stored
}

func (a *storedAnswer) answer() *Answer {
	if a == nil {
		return nil
	}
	header := convertValues(a.Header, func(v cbor.ByteString) string { return string(v) })
	return &Answer{Status: a.Status, Header: header, Body: a.Body, BodyOmitted: a.Omitted}
}

// convertValues changes the form of the values of a header.
func convertValues[A, B any](header map[string][]A, convert func(A) B) map[string][]B {
	if header == nil {
		return nil
	}
	converted := make(map[string][]B, len(header))
	for name, values := range header {
		for _, v := range values {
			converted[name] = append(converted[name], convert(v))
		}
	}
	return converted
}

// size is the number of bytes that count towards Limits.AnswerBytes.
func (a *storedAnswer) size() int64 {
	if a == nil || a.Omitted {
		return 0
	}
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return int64(size)
}
