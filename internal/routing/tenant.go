package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"unicode"

	"github.com/samber/lo"
)

// Tenant is a customer whose requests carry one of its keys.
type Tenant struct {
	Name string `json:"name"`
	// KeyDigests are the digests of its keys, as KeyDigest returns them. The keys
	// themselves are secret and are not part of the document.
	KeyDigests []string `json:"key_digests"`
	Priority   *int     `json:"priority,omitempty"` // takes precedence over the priority of a route; nil: does not
	Rate       float64  `json:"rate,omitempty"`     // requests per second over all entries; 0: no limit
	Burst      float64  `json:"burst,omitempty"`    // requests beyond the rate
}

// KeyDigest returns the hexadecimal SHA-256 digest of a key.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// TenantByKey returns the tenant that holds the key, or nil. No tenant holds the
// empty key.
func (t *Table) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.TenantByDigest(KeyDigest(key))
}

// Tenant returns the tenant with the name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenantNames[name] }

// MeanTenantRate returns the mean rate limit of the tenants that have one, or 0.
func (t *Table) MeanTenantRate() float64 { return t.meanRate }

func meanRate(tenants []Tenant) float64 {
	limited := lo.Filter(tenants, func(t Tenant, _ int) bool { return t.Rate > 0 })
	return lo.MeanBy(limited, func(t Tenant) float64 { return t.Rate })
}

// TenantByDigest returns the tenant that holds the key with the digest, or nil.
func (t *Table) TenantByDigest(digest string) *Tenant { return t.tenants[digest] }

func tenantsByDigest(tenants []Tenant) map[string]*Tenant {
	table := map[string]*Tenant{}
	for i := range tenants {
		for _, digest := range tenants[i].KeyDigests {
			table[digest] = &tenants[i]
		}
	}
	return table
}

func tenantsByName(tenants []Tenant) map[string]*Tenant {
	table := make(map[string]*Tenant, len(tenants))
	for i := range tenants {
		table[tenants[i].Name] = &tenants[i]
	}
	return table
}

// validateTenants returns an error if a tenant has no name or one that a header cannot
// carry, two tenants have the same name or key, or a limit is negative.
func validateTenants(tenants []Tenant) error {
	names, holders := map[string]bool{}, map[string]string{}
	for _, t := range tenants {
		if t.Name == "" {
			return fmt.Errorf("a tenant has no name")
		}
		if strings.ContainsFunc(t.Name, unicode.IsControl) {
			return fmt.Errorf("tenant %.64q: the name holds a control character, which a header cannot carry", t.Name)
		}
		if names[t.Name] {
			return fmt.Errorf("tenant %.64q is listed twice", t.Name)
		}
		names[t.Name] = true
		if t.Rate < 0 || t.Burst < 0 {
			return fmt.Errorf("tenant %.64q: rate %v or burst %v is below zero", t.Name, t.Rate, t.Burst)
		}
		for _, digest := range t.KeyDigests {
			if holder, held := holders[digest]; held && holder != t.Name {
				return fmt.Errorf("tenants %.64q and %.64q have the same key", holder, t.Name)
			}
			holders[digest] = t.Name
		}
	}
	return nil
}
