package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// requireToken passes on only requests with the bearer token; others get an
// error with the detail. The hashes are compared in constant time.
func requireToken(token, detail string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(given))
		if !found || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			fault.Write(w, r.Header.Get(fault.HeaderRequestID), fault.New(fault.Unauthorized, detail))
			return
		}
		next.ServeHTTP(w, r)
	})
}
