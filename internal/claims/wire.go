package claims

import (
	"encoding/hex"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// pathPrefix is the prefix of the URL paths of calls between entries. The names
// of the group and the call follow.
const pathPrefix = "/peer/v1/claims/"

// Names of the calls between entries.
const (
	callClaim       = "claim"
	callComplete    = "complete"
	callRelease     = "release"
	callMarkUnknown = "unknown"
	callWait        = "wait"
	callLease       = "lease"
)

var opByCall = map[string]op{
	callClaim:       opClaim,
	callComplete:    opComplete,
	callRelease:     opRelease,
	callMarkUnknown: opMarkUnknown,
	callWait:        opClaim, // only selects the fields of the request; a wait is never proposed
	callLease:       opLease,
}

var errInvalidDigest = errors.New("claims: the digest is not 32 bytes in hex")

// wireRequest is the JSON body of a call to a member.
type wireRequest struct {
	Plan    string      `json:"plan,omitempty"`
	Key     string      `json:"key,omitempty"`
	Digest  string      `json:"digest,omitempty"` // hex
	Attempt string      `json:"attempt,omitempty"`
	Holder  string      `json:"holder,omitempty"`
	Answer  *wireAnswer `json:"answer,omitempty"`
	Lease   string      `json:"lease,omitempty"`
	TTLMS   int64       `json:"ttl_ms,omitempty"`
	WaitMS  int64       `json:"wait_ms,omitempty"` // maximum duration of a wait call
}

type wireAnswer struct {
	Status  int                 `json:"status"`
	Header  map[string][][]byte `json:"header,omitempty"`
	Body    []byte              `json:"body,omitempty"`
	Omitted bool                `json:"body_omitted,omitempty"`
}

// wireResponse is the JSON body of the response to a call.
type wireResponse struct {
	State  State       `json:"state,omitempty"`
	Holder string      `json:"holder,omitempty"`
	Answer *wireAnswer `json:"answer,omitempty"`
	OK     bool        `json:"ok,omitempty"`
	Leader string      `json:"leader,omitempty"` // name of the leader, if it is another member
}

func commandToWire(c command) wireRequest {
	w := wireRequest{
		Plan:    c.Plan,
		Attempt: c.Attempt,
		Holder:  c.Holder,
		Lease:   c.Lease,
		TTLMS:   c.TTLMS,
	}
	if c.Op == opLease {
		return w
	}
	w.Key = c.Key.String()
	w.Digest = hex.EncodeToString(c.Digest[:])
	w.Answer = answerToWire(c.Answer)
	return w
}

func (w wireRequest) command(kind op) (command, error) {
	c := command{
		Op:      kind,
		Plan:    w.Plan,
		Attempt: w.Attempt,
		Holder:  w.Holder,
		Lease:   w.Lease,
		TTLMS:   w.TTLMS,
	}
	if kind == opLease {
		return c, nil
	}
	key, err := ParseKey(w.Key)
	if err != nil {
		return command{}, err
	}
	c.Key = uuid.UUID(key.ID)
	digest, err := hex.DecodeString(w.Digest)
	if err != nil || len(digest) != len(c.Digest) {
		return command{}, errInvalidDigest
	}
	copy(c.Digest[:], digest)
	if kind == opComplete {
		c.Answer = answerFromWire(w.Answer)
	}
	return c, nil
}

func answerToWire(a *storedAnswer) *wireAnswer {
	if a == nil {
		return nil
	}
	header := convertHeader(a.Header, func(v cbor.ByteString) []byte { return []byte(v) })
	return &wireAnswer{Status: a.Status, Header: header, Body: a.Body, Omitted: a.Omitted}
}

func answerFromWire(w *wireAnswer) *storedAnswer {
	if w == nil {
		return nil
	}
	header := convertHeader(w.Header, func(v []byte) cbor.ByteString { return cbor.ByteString(v) })
	return &storedAnswer{Status: w.Status, Header: header, Body: w.Body, Omitted: w.Omitted}
}

func (o outcome) wire() wireResponse {
	return wireResponse{State: o.State, Holder: o.Holder, Answer: answerToWire(o.Answer), OK: o.OK}
}

func (w wireResponse) outcome() outcome {
	return outcome{State: w.State, Holder: w.Holder, Answer: answerFromWire(w.Answer), OK: w.OK}
}
