package claims

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// op is the type of a command of the state machine.
type op uint8

const (
	opClaim op = iota + 1
	opComplete
	opRelease
	opMarkUnknown
	opLease
)

// timestamp is the time at which the leader proposes a command. The age of keys
// is based on wall time. Leases are based on monotonic time, which counts from
// the start of the clock source, so readings of two sources must not be compared.
type timestamp struct {
	WallMS      int64  `cbor:"1,keyasint"`
	MonoMS      int64  `cbor:"2,keyasint"`
	ClockSource string `cbor:"3,keyasint"`
}

// command is an entry in the log of a claim group.
type command struct {
	Op      op            `cbor:"1,keyasint"`
	At      timestamp     `cbor:"2,keyasint"`
	Plan    string        `cbor:"3,keyasint,omitempty"`
	Key     uuid.UUID     `cbor:"4,keyasint,omitempty"`
	Digest  [32]byte      `cbor:"5,keyasint,omitempty"`
	Attempt string        `cbor:"6,keyasint,omitempty"`
	Holder  string        `cbor:"7,keyasint,omitempty"`
	Answer  *storedAnswer `cbor:"8,keyasint,omitempty"`
	Lease   string        `cbor:"9,keyasint,omitempty"`
	TTLMS   int64         `cbor:"10,keyasint,omitempty"`
}

// storedAnswer is the form of an Answer in the log and in snapshots. Header
// values are byte strings, because HTTP does not limit them to UTF-8.
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
	OK     bool          `cbor:"4,keyasint,omitempty"` // the command took effect, now or when it was applied before
}

// claimID identifies a claim. Equal keys of two plans are different claims.
type claimID struct {
	Plan string    `cbor:"1,keyasint"`
	Key  uuid.UUID `cbor:"2,keyasint"`
}

func (c command) claimID() claimID { return claimID{Plan: c.Plan, Key: c.Key} }

func encode(v any) []byte {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		panic("claims: cannot encode value as CBOR: " + err.Error())
	}
	return encoded
}

func decodeOutcome(encoded []byte) (outcome, error) {
	var o outcome
	err := cbor.Unmarshal(encoded, &o)
	return o, err
}

func newStoredAnswer(a Answer) *storedAnswer {
	stored := &storedAnswer{Status: a.Status, Body: a.Body, Omitted: a.BodyOmitted}
	stored.Header = convertHeader(a.Header, func(v string) cbor.ByteString { return cbor.ByteString(v) })
	return stored
}

func (a *storedAnswer) answer() *Answer {
	if a == nil {
		return nil
	}
	header := convertHeader(a.Header, func(v cbor.ByteString) string { return string(v) })
	return &Answer{Status: a.Status, Header: header, Body: a.Body, BodyOmitted: a.Omitted}
}

// convertHeader returns a copy of the header with converted values.
func convertHeader[A, B any](header map[string][]A, convert func(A) B) map[string][]B {
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

// size returns the number of bytes that count towards Limits.MaxTotalAnswerBytes.
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
