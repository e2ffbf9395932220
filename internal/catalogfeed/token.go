package catalogfeed

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearer = "Bearer "

// tokenCheck compares bearer tokens in constant time. Hashing first hides the
// length of the expected token.
type tokenCheck struct{ want [sha256.Size]byte }

func newTokenCheck(token string) tokenCheck {
	return tokenCheck{want: sha256.Sum256([]byte(token))}
}

func (c tokenCheck) accepts(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !found {
		return false
	}
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(got[:], c.want[:]) == 1
}
