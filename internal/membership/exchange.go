package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// exchangeBuckets is the number of buckets into which the table is divided for
// an exchange. Digests of buckets are compared first, so that two nearly equal
// tables of 2,800 members exchange a few kilobytes instead of all records.
const exchangeBuckets = 64

// ExchangeRequest is a request of a full exchange of tables.
type ExchangeRequest struct {
	From    Member   `cbor:"1,keyasint"`
	Digests []uint64 `cbor:"2,keyasint"`           // one per bucket
	Members []Member `cbor:"3,keyasint,omitempty"` // records of buckets that were found to differ
}

// ExchangeResponse is the response to an ExchangeRequest.
type ExchangeResponse struct {
	From    Member   `cbor:"1,keyasint"`
	Differ  []int    `cbor:"2,keyasint,omitempty"` // buckets that differ
	Members []Member `cbor:"3,keyasint,omitempty"` // records of these buckets
}

// StartExchange returns the request that starts an exchange.
func (t *Table) StartExchange() ExchangeRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ExchangeRequest{From: t.self, Digests: t.digests()}
}

// HandleExchange merges the records of a request from another member and
// returns this member's records of the buckets that differ. It returns
// ErrMalformed for a malformed request.
func (t *Table) HandleExchange(now time.Time, q ExchangeRequest) (ExchangeResponse, error) {
	if len(q.Digests) != exchangeBuckets || !allValid(q.From, q.Members) {
		return ExchangeResponse{}, ErrMalformed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	differ := t.differing(q.Digests)
	reply := ExchangeResponse{From: t.self, Differ: differ, Members: t.inBuckets(differ)}
	if q.From.Name != t.self.Name {
		t.observeSender(q.From, now)
	}
	for _, m := range q.Members {
		t.mergeFrom(m, now, fromExchange)
	}
	return reply, nil
}

// FinishExchange merges the records of a response and returns a request with
// the records that the other side may lack. The request carries no records if
// both tables agree.
func (t *Table) FinishExchange(now time.Time, r ExchangeResponse) (ExchangeRequest, error) {
	if !allValid(r.From, r.Members) {
		return ExchangeRequest{}, ErrMalformed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	push := ExchangeRequest{From: t.self, Members: t.inBuckets(r.Differ)}
	if r.From.Name != t.self.Name {
		t.observeSender(r.From, now)
	}
	for _, m := range r.Members {
		t.mergeFrom(m, now, fromExchange)
	}
	push.Digests = t.digests()
	return push, nil
}

func allValid(from Member, members []Member) bool {
	if !valid(from) || len(members) > maxExchangeMembers {
		return false
	}
	for _, m := range members {
		if !valid(m) {
			return false
		}
	}
	return true
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % exchangeBuckets) }

// digests returns a digest per bucket that does not depend on the order of the
// records. Load and catalog versions are left out, since they change constantly.
func (t *Table) digests() []uint64 {
	sums := make([]uint64, exchangeBuckets)
	add := func(m Member) { sums[bucketOf(m.Name)] += recordDigest(m) }
	add(t.self)
	for _, r := range t.records {
		add(r.Member)
	}
	return sums
}

func recordDigest(m Member) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strings.Join([]string{m.Name, string(m.State), m.PeerAddress}, "\x00"))
	var numbers [16]byte
	putUint64(numbers[:8], m.Incarnation)
	putUint64(numbers[8:], m.Revision)
	_, _ = d.Write(numbers[:])
	return d.Sum64()
}

func putUint64(b []byte, v uint64) {
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
}

func (t *Table) differing(other []uint64) []int {
	var differ []int
	for i, sum := range t.digests() {
		if sum != other[i] {
			differ = append(differ, i)
		}
	}
	return differ
}

func (t *Table) inBuckets(buckets []int) []Member {
	if len(buckets) == 0 {
		return nil
	}
	return slices.DeleteFunc(t.members(), func(m Member) bool { return !slices.Contains(buckets, bucketOf(m.Name)) })
}
