package plan

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// Record is a plan with its entitlements. A record is immutable once it is
// part of a Snapshot.
type Record struct {
	Plan         Plan          `json:"plan"`
	Entitlements []Entitlement `json:"entitlements,omitempty"` // sorted by service
}

// check returns an error for the first rule that the record breaks.
func (r *Record) check() error {
	if err := r.Plan.Check(); err != nil {
		return err
	}
	if len(r.Entitlements) > MaxEntitlementsOfPlan {
		return fmt.Errorf("plan %s: %d entitlements: want at most %d", r.Plan.ID, len(r.Entitlements), MaxEntitlementsOfPlan)
	}
	for i, e := range r.Entitlements {
		if err := e.Check(); err != nil {
			return err
		}
		if e.Plan != r.Plan.ID {
			return fmt.Errorf("plan %s: entitlement belongs to %s", r.Plan.ID, e.Plan)
		}
		if i > 0 && r.Entitlements[i-1].Service >= e.Service {
			return fmt.Errorf("plan %s: entitlements are not in order of the service", r.Plan.ID)
		}
	}
	return nil
}

// intern makes equal strings share memory, since many records name the same
// few services and regions. It must be called before the record becomes part
// of a Snapshot.
func (r *Record) intern() {
	r.Plan.HomeRegion = unique.Make(r.Plan.HomeRegion).Value()
	for i := range r.Entitlements {
		e := &r.Entitlements[i]
		if e.Plan == r.Plan.ID { // check rejects any other value
			e.Plan = r.Plan.ID
		}
		e.Service = unique.Make(e.Service).Value()
	}
}

func (r *Record) entitlement(service string) (Entitlement, bool) {
	i, found := slices.BinarySearchFunc(r.Entitlements, service, compareService)
	if !found {
		return Entitlement{}, false
	}
	return r.Entitlements[i], true
}

func compareService(e Entitlement, service string) int { return strings.Compare(e.Service, service) }

// clone returns a copy of the record whose slices may be modified.
func (r *Record) clone() *Record {
	c := &Record{Plan: r.Plan, Entitlements: slices.Clone(r.Entitlements)}
	c.Plan.TokenSHA256 = slices.Clone(r.Plan.TokenSHA256)
	return c
}

func (r *Record) setEntitlement(e Entitlement) {
	i, found := slices.BinarySearchFunc(r.Entitlements, e.Service, compareService)
	if found {
		r.Entitlements[i] = e
		return
	}
	r.Entitlements = slices.Insert(r.Entitlements, i, e)
}

func (r *Record) removeEntitlement(service string) bool {
	i, found := slices.BinarySearchFunc(r.Entitlements, service, compareService)
	if found {
		r.Entitlements = slices.Delete(r.Entitlements, i, i+1)
	}
	return found
}

// digest returns a checksum of the record. The digest of a Snapshot is the sum
// over its records, so a delta can update it without reading all records.
func (r *Record) digest() uint64 {
	buffer := make([]byte, 0, 512)
	buffer = appendText(buffer, r.Plan.ID)
	buffer = appendText(buffer, r.Plan.HomeRegion)
	buffer = binary.AppendUvarint(buffer, uint64(r.Plan.Weight))
	buffer = binary.AppendUvarint(buffer, uint64(len(r.Plan.TokenSHA256)))
	for _, hash := range r.Plan.TokenSHA256 {
		buffer = appendText(buffer, hash)
	}
	for _, e := range r.Entitlements {
		buffer = appendText(buffer, e.Service)
		buffer = binary.AppendUvarint(buffer, math.Float64bits(e.RequestsPerSecond))
		buffer = binary.AppendUvarint(buffer, uint64(e.Concurrency))
	}
	return xxhash.Sum64(buffer)
}

func appendText(buffer []byte, text string) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}

func compareByPlanID(a, b *Record) int { return cmp.Compare(a.Plan.ID, b.Plan.ID) }
