package consensus

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// PathPrefix returns the path below which Handler must be served.
func (g *Group) PathPrefix() string { return g.config.PathPrefix }

// Handler serves the messages and forwarded calls of other members, at the
// paths below PathPrefix. An answer with headerRefused means that nothing was
// done.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+g.config.PathPrefix+pathMessages, g.serveMessages)
	mux.HandleFunc("POST "+g.config.PathPrefix+pathPropose, g.servePropose)
	mux.HandleFunc("POST "+g.config.PathPrefix+pathRead, g.serveRead)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.authorized(r) {
			refuse(w, "the member's token is wrong", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// authorized compares hashes, so that neither content nor length of the token
// shows in the time taken.
func (g *Group) authorized(r *http.Request) bool {
	if g.config.Token == "" {
		return true
	}
	given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get(authorization), bearer)))
	want := sha256.Sum256([]byte(g.config.Token))
	return subtle.ConstantTimeCompare(given[:], want[:]) == 1
}

func (g *Group) serveMessages(w http.ResponseWriter, r *http.Request) {
	var batch messageBatch
	if !decodeBody(w, r, &batch) || !g.sameGroup(w, batch.Group) {
		return
	}
	select {
	case g.inbox <- batch.Messages:
		w.WriteHeader(http.StatusNoContent)
	case <-g.done:
		refuse(w, "the member has stopped", http.StatusServiceUnavailable)
	default:
		refuse(w, "too many messages are waiting", http.StatusServiceUnavailable)
	}
}

func (g *Group) servePropose(w http.ResponseWriter, r *http.Request) {
	var request proposeRequest
	if !decodeBody(w, r, &request) || !g.sameGroup(w, request.Group) {
		return
	}
	// The early acknowledgement tells the sender that the connection works.
	w.WriteHeader(http.StatusProcessing)
	result, err := g.proposeForwarded(r.Context(), request)
	writeAnswer(w, proposeAnswer{Code: codeOf(err), Result: result})
}

func (g *Group) serveRead(w http.ResponseWriter, r *http.Request) {
	var request readRequest
	if !decodeBody(w, r, &request) || !g.sameGroup(w, request.Group) {
		return
	}
	// A member that lost its leadership confirms no read, so the wait is
	// bounded even if the caller sets no deadline.
	ctx, cancel := context.WithTimeout(r.Context(), 2*g.config.ElectionTimeout)
	defer cancel()
	result, err := g.readHere(ctx, &read{point: true})
	writeAnswer(w, readAnswer{Code: codeOf(err), Epoch: result.epoch, Index: result.index})
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := readLimited(r.Body)
	if err == nil {
		err = cbor.Unmarshal(raw, into)
	}
	if err != nil {
		refuse(w, "the body cannot be read", http.StatusBadRequest)
		return false
	}
	return true
}

func (g *Group) sameGroup(w http.ResponseWriter, group string) bool {
	if group != g.config.Group {
		refuse(w, "the message is for another group", http.StatusNotFound)
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, text string, status int) {
	w.Header().Set(headerRefused, "1")
	http.Error(w, text, status)
}

func writeAnswer(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(encode(answer))
}
