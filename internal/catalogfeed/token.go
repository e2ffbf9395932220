package catalogfeed

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// tokenVerifier compares bearer tokens in constant time. It compares their hashes,
// so that the time does not reveal the length of the expected token.
type tokenVerifier struct{ want [sha256.Size]byte }

func newTokenVerifier(token string) tokenVerifier {
	return tokenVerifier{want: sha256.Sum256([]byte(token))}
}

func (v tokenVerifier) accepts(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found {
		return false
	}
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(got[:], v.want[:]) == 1
}
