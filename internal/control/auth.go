package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// requireToken lets only requests with the bearer token pass. The comparison
// of the hashes takes constant time.
func requireToken(token, refusal string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(given))
		if !found || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			fault.Write(w, r.Header.Get(fault.HeaderRequestID), fault.New(fault.Unauthorized, refusal))
			return
		}
		next.ServeHTTP(w, r)
	})
}
