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

// tokenRef maps the hash of a token to the plan that it belongs to.
type tokenRef struct {
	hash tokenHash
	plan string
}

var planKeyFuncs = &keyFuncs[string, *Record]{
	shard:   func(id string) uint8 { return uint8(xxhash.Sum64String(id)) },
	compare: func(r *Record, id string) int { return strings.Compare(r.Plan.ID, id) },
}

var tokenKeyFuncs = &keyFuncs[tokenHash, tokenRef]{
	shard:   func(h tokenHash) uint8 { return h[0] },
	compare: func(r tokenRef, h tokenHash) int { return bytes.Compare(r.hash[:], h[:]) },
}

// EmptySnapshot returns the empty catalog at version 0.
func EmptySnapshot() *Snapshot { return &Snapshot{} }

// Version returns the number of changes accepted up to this catalog.
func (s *Snapshot) Version() uint64 { return s.version }

// Digest returns a checksum of the records. It does not cover the version.
func (s *Snapshot) Digest() uint64 { return s.digest }

// PlanCount returns the number of plans.
func (s *Snapshot) PlanCount() int { return s.planCount }

// EntitlementCount returns the number of entitlements.
func (s *Snapshot) EntitlementCount() int { return s.entitlements }

// Authenticate returns the plan that the token belongs to. It looks up the
// SHA-256 of the token, whose bytes a caller cannot choose, and compares the
// hashes in constant time, so timing reveals nothing about accepted tokens.
func (s *Snapshot) Authenticate(token string) (Plan, bool) {
	hash := tokenHash(sha256.Sum256([]byte(token)))
	shard := s.tokens.shards[tokenKeyFuncs.shard(hash)]
	i, _ := slices.BinarySearchFunc(shard, hash, tokenKeyFuncs.compare)
	if i == len(shard) {
		return Plan{}, false
	}
	if subtle.ConstantTimeCompare(shard[i].hash[:], hash[:]) != 1 {
		return Plan{}, false
	}
	return s.Plan(shard[i].plan)
}

// Plan returns the plan with the id. Its TokenSHA256 must not be modified.
func (s *Snapshot) Plan(id string) (Plan, bool) {
	r, found := s.Record(id)
	if !found {
		return Plan{}, false
	}
	return r.Plan, true
}

// Record returns a plan with its entitlements. It must not be modified.
func (s *Snapshot) Record(id string) (*Record, bool) { return planKeyFuncs.get(&s.plans, id) }

// Entitlement returns the entitlement of the plan to the service.
func (s *Snapshot) Entitlement(planID, service string) (Entitlement, bool) {
	r, found := s.Record(planID)
	if !found {
		return Entitlement{}, false
	}
	return r.entitlement(service)
}

// Records returns all records, sorted by plan id. They must not be modified.
func (s *Snapshot) Records() []*Record {
	all := s.recordsByShard()
	slices.SortFunc(all, compareByPlanID)
	return all
}

// recordsByShard returns all records in shard order, which depends only on the
// plan ids and is therefore the same on every member.
func (s *Snapshot) recordsByShard() []*Record {
	all := make([]*Record, 0, s.planCount)
	for _, shard := range s.plans.shards {
		all = append(all, shard...)
	}
	return all
}

// update returns the catalog at version, with the records in put set and the
// plans in remove removed. Records must have passed check, and must not be
// modified afterwards. It fails if a plan is put twice or if two plans share a
// token.
func (s *Snapshot) update(version uint64, put []*Record, remove []string) (*Snapshot, error) {
	b := snapshotBuilder{
		next:   Snapshot{version: version, digest: s.digest, planCount: s.planCount, entitlements: s.entitlements},
		plans:  newTableBuilder(planKeyFuncs, &s.plans),
		tokens: newTableBuilder(tokenKeyFuncs, &s.tokens),
	}
	for _, id := range remove {
		b.remove(id)
	}
	for _, r := range put {
		b.remove(r.Plan.ID)
	}
	for _, r := range put {
		if err := b.put(r); err != nil {
			return nil, err
		}
	}
	b.next.plans = b.plans.table
	b.next.tokens = b.tokens.table
	return &b.next, nil
}

// snapshotBuilder builds a modified copy of a Snapshot.
type snapshotBuilder struct {
	next   Snapshot
	plans  *tableBuilder[string, *Record]
	tokens *tableBuilder[tokenHash, tokenRef]
}

func (b *snapshotBuilder) remove(id string) {
	old, found := b.plans.get(id)
	if !found {
		return
	}
	b.plans.remove(id)
	for _, text := range old.Plan.TokenSHA256 {
		b.tokens.remove(mustParseTokenHash(text))
	}
	b.next.digest -= old.digest()
	b.next.planCount--
	b.next.entitlements -= len(old.Entitlements)
}

func (b *snapshotBuilder) put(r *Record) error {
	if _, exists := b.plans.get(r.Plan.ID); exists {
		return fmt.Errorf("plan %s: named twice", r.Plan.ID)
	}
	for _, text := range r.Plan.TokenSHA256 {
		hash := mustParseTokenHash(text)
		if other, taken := b.tokens.get(hash); taken {
			return fmt.Errorf("plan %s: token_sha256 %s... is already a token of plan %s", r.Plan.ID, text[:8], other.plan)
		}
		b.tokens.put(hash, tokenRef{hash: hash, plan: r.Plan.ID})
	}
	b.plans.put(r.Plan.ID, r)
	b.next.digest += r.digest()
	b.next.planCount++
	b.next.entitlements += len(r.Entitlements)
	return nil
}

func mustParseTokenHash(text string) tokenHash {
	hash, err := parseTokenHash(text)
	if err != nil {
		panic("plan: token hash of a checked record cannot be parsed: " + text)
	}
	return hash
}
