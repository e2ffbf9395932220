package plan

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is the catalog at one version. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	version      uint64
	digest       uint64
	planCount    int
	entitlements int
	plans        table[string, *Record]
	tokens       table[tokenHash, tokenRef]
}

// tokenRef names the plan that a token belongs to.
type tokenRef struct {
	hash tokenHash
	plan string
}

var planKind = &tableKind[string, *Record]{
	shard:   func(id string) uint8 { return uint8(xxhash.Sum64String(id)) },
	compare: func(r *Record, id string) int { return strings.Compare(r.Plan.ID, id) },
}

var tokenKind = &tableKind[tokenHash, tokenRef]{
	shard:   func(h tokenHash) uint8 { return h[0] },
	compare: func(r tokenRef, h tokenHash) int { return bytes.Compare(r.hash[:], h[:]) },
}

// Empty returns the catalog at version 0, which holds nothing.
func Empty() *Snapshot { return &Snapshot{} }

// Version is the number of accepted changes that made this catalog.
func (s *Snapshot) Version() uint64 { return s.version }

// Digest is a checksum of the contents, without the version.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Plans returns the number of plans.
func (s *Snapshot) Plans() int { return s.planCount }

// Entitlements returns the number of entitlements.
func (s *Snapshot) Entitlements() int { return s.entitlements }

// Authenticate returns the plan that the token belongs to. The search is by
// the SHA-256 of the token, whose bytes a caller cannot choose, and the match
// is confirmed in constant time.
func (s *Snapshot) Authenticate(token string) (Plan, bool) {
	hash := tokenHash(sha256.Sum256([]byte(token)))
	shard := s.tokens.shards[tokenKind.shard(hash)]
	i, _ := slices.BinarySearchFunc(shard, hash, tokenKind.compare)
	if i == len(shard) {
		return Plan{}, false
	}
	if subtle.ConstantTimeCompare(shard[i].hash[:], hash[:]) != 1 {
		return Plan{}, false
	}
	return s.Plan(shard[i].plan)
}

// Plan returns the plan with the id. Its list of tokens must not be modified.
func (s *Snapshot) Plan(id string) (Plan, bool) {
	r, found := s.Record(id)
	if !found {
		return Plan{}, false
	}
	return r.Plan, true
}

// Record returns a plan with its entitlements. It must not be modified.
func (s *Snapshot) Record(id string) (*Record, bool) { return planKind.get(&s.plans, id) }

// Entitlement returns what the plan may use of the service.
func (s *Snapshot) Entitlement(planID, service string) (Entitlement, bool) {
	r, found := s.Record(planID)
	if !found {
		return Entitlement{}, false
	}
	return r.entitlement(service)
}

// Records returns all records in order of the plan id. They must not be
// modified.
func (s *Snapshot) Records() []*Record {
	all := s.unordered()
	slices.SortFunc(all, compareRecords)
	return all
}

// unordered returns all records in the order of the shards, which depends on
// nothing but the plan ids.
func (s *Snapshot) unordered() []*Record {
	all := make([]*Record, 0, s.planCount)
	for _, shard := range s.plans.shards {
		all = append(all, shard...)
	}
	return all
}

// replace returns the catalog at version, with records put in place and ids
// removed. Records must be checked, and must not be modified afterwards. It
// fails if two plans would share a token.
func (s *Snapshot) replace(version uint64, put []*Record, remove []string) (*Snapshot, error) {
	e := edit{
		next:   Snapshot{version: version, digest: s.digest, planCount: s.planCount, entitlements: s.entitlements},
		plans:  newTableEdit(planKind, &s.plans),
		tokens: newTableEdit(tokenKind, &s.tokens),
	}
	for _, id := range remove {
		e.remove(id)
	}
	for _, r := range put {
		e.remove(r.Plan.ID)
	}
	for _, r := range put {
		if err := e.put(r); err != nil {
			return nil, err
		}
	}
	e.next.plans = e.plans.table
	e.next.tokens = e.tokens.table
	return &e.next, nil
}

type edit struct {
	next   Snapshot
	plans  *tableEdit[string, *Record]
	tokens *tableEdit[tokenHash, tokenRef]
}

func (e *edit) remove(id string) {
	old, found := e.plans.get(id)
	if !found {
		return
	}
	e.plans.remove(id)
	for _, text := range old.Plan.TokenSHA256 {
		e.tokens.remove(mustParseHash(text))
	}
	e.next.digest -= old.digest()
	e.next.planCount--
	e.next.entitlements -= len(old.Entitlements)
}

func (e *edit) put(r *Record) error {
	if _, exists := e.plans.get(r.Plan.ID); exists {
		return fmt.Errorf("plan %s: named twice", r.Plan.ID)
	}
	for _, text := range r.Plan.TokenSHA256 {
		hash := mustParseHash(text)
		if other, taken := e.tokens.get(hash); taken {
			return fmt.Errorf("plan %s: token_sha256 %s... is already a token of plan %s", r.Plan.ID, text[:8], other.plan)
		}
		e.tokens.put(hash, tokenRef{hash: hash, plan: r.Plan.ID})
	}
	e.plans.put(r.Plan.ID, r)
	e.next.digest += r.digest()
	e.next.planCount++
	e.next.entitlements += len(r.Entitlements)
	return nil
}

func mustParseHash(text string) tokenHash {
	hash, err := parseHash(text)
	if err != nil {
		panic("plan: token hash of a checked record cannot be parsed: " + text)
	}
	return hash
}
