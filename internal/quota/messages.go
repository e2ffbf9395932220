package quota

import (
	"encoding/binary"
	"errors"
	"time"
)

// Paths of the calls between entries.
const (
	ExchangePath = "/fleet/v1/quota"
	ReleasePath  = "/fleet/v1/quota/releases"
	AgePath      = "/fleet/v1/quota/ages"
)

// Kind is the kind of an exchange. One message of each kind is in flight at a time
// from a sender to a holder.
type Kind int

// The kinds of exchanges.
const (
	OwnerExchange  Kind = iota // of an owner of groups
	UrgentTransfer             // of the holder of another region, for requests that wait
	FillTransfer               // of the holder of another region, for a bucket that is low
)

// ExchangeRequest tells a holder what credit an owner has and how much it needs, or
// asks the holder of another region for tokens.
type ExchangeRequest struct {
	Shard       int    `json:"shard,omitempty" cbor:"1,keyasint,omitempty"`
	Shards      int    `json:"shards" cbor:"2,keyasint"`
	Sender      string `json:"sender" cbor:"3,keyasint"` // name of the entry
	Incarnation uint64 `json:"incarnation" cbor:"4,keyasint"`
	Sequence    uint64 `json:"sequence" cbor:"5,keyasint"` // increases with each message of the incarnation
	Kind        Kind   `json:"kind,omitempty" cbor:"6,keyasint,omitempty"`
	Needs       []byte `json:"needs" cbor:"7,keyasint"` // encoded by encodeNeeds
	// Received is the sequence number of the last message of the kind to the region whose
	// response has arrived; 0: not stated. Later responses will not be applied.
	Received uint64 `json:"received,omitempty" cbor:"8,keyasint,omitempty"`
}

// ExchangeResponse holds the credit.
type ExchangeResponse struct {
	Holding bool   `json:"holding" cbor:"1,keyasint"` // the peer is the holder; otherwise nothing was done
	Grants  []byte `json:"grants,omitempty" cbor:"2,keyasint,omitempty"`
}

// ReleaseRequest asks an entry to stop granting as the holder of a shard, since the
// sender takes over.
type ReleaseRequest struct {
	Shard  int    `json:"shard,omitempty" cbor:"1,keyasint,omitempty"`
	Shards int    `json:"shards" cbor:"2,keyasint"`
	Index  uint64 `json:"index" cbor:"3,keyasint"` // of the view of the sender
}

// ReleaseResponse confirms that the entry does not grant.
type ReleaseResponse struct {
	Released bool          `json:"released" cbor:"1,keyasint"`
	Held     time.Duration `json:"held,omitempty" cbor:"2,keyasint,omitempty"` // for how long the entry held the shard until now; 0: it did not
	Levels   []byte        `json:"levels,omitempty" cbor:"3,keyasint,omitempty"`
	Quiet    time.Duration `json:"quiet,omitempty" cbor:"4,keyasint,omitempty"` // for how long the process is known not to have granted from the shard; 0: not known
}

// AgeRequest asks an entry for how long its process has run, and what credit it has got
// of holders of the region of the sender.
type AgeRequest struct {
	Region string `json:"region" cbor:"1,keyasint"`
}

// AgeResponse holds that.
type AgeResponse struct {
	Age      time.Duration `json:"age" cbor:"1,keyasint"`
	Credited time.Duration `json:"credited,omitempty" cbor:"2,keyasint,omitempty"` // since the first credit of the region; 0: none so far
	Holder   string        `json:"holder,omitempty" cbor:"3,keyasint,omitempty"`   // the entry that gave all credit of the region; empty: none, or several
}

// Need is what an owner has and needs of one tenant.
type Need struct {
	ID       uint32
	Held     int // credit that may still be used, without what is returned
	Returned int // credit that will not be used
	Wanted   int // further credit
	Waiting  int // of these, for requests that wait
}

// Grant is what a holder gives for one need.
type Grant struct {
	ID         uint32
	Granted    int
	RetryAfter time.Duration // until there is credit for requests that got none; 0: there is enough
}

var errMalformed = errors.New("quota: malformed message")

// maxCount limits each count of a message. A larger one is an error of the sender.
const maxCount = 1 << 20

// Counts are encoded as varints and tenants by 4 bytes, since messages between data
// centres are priced by volume.

func encodeNeeds(needs []Need) []byte {
	raw := make([]byte, 0, 8*len(needs))
	for _, n := range needs {
		raw = binary.LittleEndian.AppendUint32(raw, n.ID)
		for _, count := range []int{n.Held, n.Returned, n.Wanted, n.Waiting} {
			raw = binary.AppendUvarint(raw, uint64(min(max(count, 0), maxCount)))
		}
	}
	return raw
}

func decodeNeeds(raw []byte) ([]Need, error) {
	r := reader{raw: raw}
	var needs []Need
	for r.more() {
		needs = append(needs, Need{ID: r.id(), Held: r.count(), Returned: r.count(), Wanted: r.count(), Waiting: r.count()})
	}
	return needs, r.err
}

func encodeGrants(grants []Grant) []byte {
	raw := make([]byte, 0, 7*len(grants))
	for _, g := range grants {
		raw = binary.LittleEndian.AppendUint32(raw, g.ID)
		raw = binary.AppendUvarint(raw, uint64(g.Granted))
		raw = binary.AppendUvarint(raw, uint64(g.RetryAfter.Milliseconds()))
	}
	return raw
}

func decodeGrants(raw []byte) ([]Grant, error) {
	r := reader{raw: raw}
	var grants []Grant
	for r.more() {
		grants = append(grants, Grant{ID: r.id(), Granted: r.count(), RetryAfter: time.Duration(r.count()) * time.Millisecond})
	}
	return grants, r.err
}

// encodeLevels encodes the levels of buckets by tenant.
func encodeLevels(levels map[uint32]int) []byte {
	raw := make([]byte, 0, 6*len(levels))
	for id, level := range levels {
		raw = binary.LittleEndian.AppendUint32(raw, id)
		raw = binary.AppendUvarint(raw, uint64(min(max(level, 0), maxCount)))
	}
	return raw
}

func decodeLevels(raw []byte) (map[uint32]int, error) {
	r := reader{raw: raw}
	levels := map[uint32]int{}
	for r.more() {
		id := r.id()
		levels[id] = r.count()
	}
	return levels, r.err
}

// reader decodes numbers until the first error.
type reader struct {
	raw []byte
	err error
}

func (r *reader) more() bool { return r.err == nil && len(r.raw) > 0 }

func (r *reader) id() uint32 {
	if r.err != nil || len(r.raw) < 4 {
		r.err = errMalformed
		return 0
	}
	id := binary.LittleEndian.Uint32(r.raw)
	r.raw = r.raw[4:]
	return id
}

func (r *reader) count() int {
	if r.err != nil {
		return 0
	}
	n, length := binary.Uvarint(r.raw)
	if length <= 0 || n > maxCount {
		r.err = errMalformed
		return 0
	}
	r.raw = r.raw[length:]
	return int(n)
}
