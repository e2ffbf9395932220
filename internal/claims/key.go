package claims

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// ErrInvalidKey is returned for an idempotency key that is not a UUID version 7
// in the canonical 36-character form.
var ErrInvalidKey = errors.New("claims: the idempotency key is not a UUID version 7")

const (
	canonicalKeyLength = 36 // characters
	uuidVersion7       = 7
)

// Key is a parsed idempotency key.
type Key struct {
	ID uuid.UUID
}

// ParseKey parses an idempotency key. Hex digits may be upper or lower case. It
// returns ErrInvalidKey for any other form.
func ParseKey(text string) (Key, error) {
	if len(text) != canonicalKeyLength {
		return Key{}, ErrInvalidKey
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, ErrInvalidKey
	}
	if id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrInvalidKey
	}
	return Key{ID: id}, nil
}

// NewKey returns a key with the given creation time and random bits.
func NewKey(created time.Time, random [10]byte) Key {
	var id uuid.UUID
	ms := created.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	copy(id[6:], random[:])
	id[6] = id[6]&0x0f | uuidVersion7<<4
	id[8] = id[8]&0x3f | 0x80
	return Key{ID: id}
}

// String returns the canonical form of the key, in lower case.
func (k Key) String() string { return k.ID.String() }

// CreatedMS returns the creation time in milliseconds since the Unix epoch.
func (k Key) CreatedMS() int64 {
	var ms int64
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Created returns the creation time that is encoded in the key.
func (k Key) Created() time.Time { return time.UnixMilli(k.CreatedMS()) }

// Limits holds the time and size limits of claims. They must be the same on all
// entries, because each member of a group applies them to the same commands.
type Limits struct {
	Retention           time.Duration // maximum age of a usable key
	ClockError          time.Duration // maximum difference between the clocks of two entries
	CallLimit           time.Duration // maximum duration of an upstream call
	MaxTotalAnswerBytes int64         // maximum total of the stored answers of a group; the oldest are dropped first
	MaxLeaseTTL         time.Duration // maximum duration of a lease; a re-formed group grants no lease for this long
	MaxAnswerBytes      int           // maximum size of one stored answer, besides the allowance of maxStoredHeaderBytes
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		Retention:           time.Hour,
		ClockError:          30 * time.Second,
		CallLimit:           10 * time.Minute,
		MaxTotalAnswerBytes: 64 << 20,
		MaxLeaseTTL:         5 * time.Second,
		MaxAnswerBytes:      64 << 10,
	}
}

// MustBeValid panics if a time limit is out of range.
func (l Limits) MustBeValid() {
	if l.Retention <= 0 || l.ClockError < 0 || l.CallLimit <= 0 || l.MaxLeaseTTL <= 0 {
		panic(fmt.Sprintf("claims: limits out of range: %+v", l))
	}
}

// KeyState returns Expired or TooNew for a key that must be refused at the
// given time, and the empty state for a usable key.
func (l Limits) KeyState(k Key, now time.Time) State {
	return l.keyState(k.CreatedMS(), now.UnixMilli())
}

func (l Limits) keyState(createdMS, nowMS int64) State {
	if nowMS-createdMS > (l.Retention + l.ClockError).Milliseconds() {
		return Expired
	}
	if createdMS-nowMS > l.ClockError.Milliseconds() {
		return TooNew
	}
	return ""
}
