package plan

import (
	"encoding/hex"
	"fmt"
	"math"
)

// Limits of the catalog.
const (
	MaxNameLength           = 64 // bytes of a plan id, a change id, a service or a region
	MinWeight               = 1
	MaxWeight               = 1000
	MaxTokens               = 8 // tokens of one plan; there is more than one while a token is being replaced
	MaxEntitlementsOfPlan   = 2000
	MaxItemsOfChange        = 10_000
	MaxRequestsPerSecond    = 1_000_000
	MaxConcurrency          = 1_000_000
	sha256HexLength         = 64
	allowedNameDescription  = "want 1 to 64 letters, digits, '.', '_' or '-'"
	allowedTokenDescription = "want the SHA-256 of a token as 64 lower-case hex digits"
)

// ValidName reports whether name may be a plan id, a service, a region or a
// change id.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

// Check returns an error for the first rule that the plan breaks.
func (p Plan) Check() error {
	if !ValidName(p.ID) {
		return fmt.Errorf("plan %q: %s", p.ID, allowedNameDescription)
	}
	if p.Weight < MinWeight || p.Weight > MaxWeight {
		return fmt.Errorf("plan %s: weight %d: want %d to %d", p.ID, p.Weight, MinWeight, MaxWeight)
	}
	if p.HomeRegion != "" && !ValidName(p.HomeRegion) {
		return fmt.Errorf("plan %s: home_region %q: %s", p.ID, p.HomeRegion, allowedNameDescription)
	}
	if len(p.TokenSHA256) == 0 || len(p.TokenSHA256) > MaxTokens {
		return fmt.Errorf("plan %s: %d token hashes: want 1 to %d", p.ID, len(p.TokenSHA256), MaxTokens)
	}
	for i, hash := range p.TokenSHA256 {
		if _, err := parseTokenHash(hash); err != nil {
			return fmt.Errorf("plan %s: token_sha256[%d]: %s", p.ID, i, allowedTokenDescription)
		}
	}
	return nil
}

// Check returns an error for the first rule that the entitlement breaks.
func (e Entitlement) Check() error {
	if !ValidName(e.Plan) {
		return fmt.Errorf("entitlement: plan %q: %s", e.Plan, allowedNameDescription)
	}
	if !ValidName(e.Service) {
		return fmt.Errorf("entitlement of %s: service %q: %s", e.Plan, e.Service, allowedNameDescription)
	}
	if math.IsNaN(e.RequestsPerSecond) || e.RequestsPerSecond < 0 || e.RequestsPerSecond > MaxRequestsPerSecond {
		return fmt.Errorf("entitlement %s/%s: requests_per_second %g: want 0 to %d", e.Plan, e.Service, e.RequestsPerSecond, MaxRequestsPerSecond)
	}
	if e.Concurrency < 0 || e.Concurrency > MaxConcurrency {
		return fmt.Errorf("entitlement %s/%s: concurrency %d: want 0 to %d", e.Plan, e.Service, e.Concurrency, MaxConcurrency)
	}
	return nil
}

type tokenHash [32]byte

// parseTokenHash parses 64 lower-case hex digits. Upper-case digits are
// rejected so that each hash has exactly one text form.
func parseTokenHash(text string) (tokenHash, error) {
	var hash tokenHash
	if len(text) != sha256HexLength {
		return hash, fmt.Errorf("%d bytes", len(text))
	}
	for i := range len(text) {
		if text[i] >= 'A' && text[i] <= 'F' {
			return hash, fmt.Errorf("upper-case digit")
		}
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err
}
