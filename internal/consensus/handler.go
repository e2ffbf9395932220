package consensus

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// PathPrefix returns the path below which Handler must be served.
func (g *Group) PathPrefix() string { return g.config.PathPrefix }

// Handler serves the messages and forwarded calls of other members, at the
// paths below PathPrefix. A response with headerNotProcessed means that the
// request had no effect.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+g.config.PathPrefix+pathMessages, g.serveMessages)
	mux.HandleFunc("POST "+g.config.PathPrefix+pathPropose, g.servePropose)
	mux.HandleFunc("POST "+g.config.PathPrefix+pathRead, g.serveRead)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.authorized(r) {
			rejectRequest(w, "the member's token is wrong", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// authorized compares hashes of the tokens, so that the time taken reveals
// neither the content nor the length of the token.
func (g *Group) authorized(r *http.Request) bool {
	if g.config.Token == "" {
		return true
	}
	got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get(headerAuthorization), bearerPrefix)))
	want := sha256.Sum256([]byte(g.config.Token))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (g *Group) serveMessages(w http.ResponseWriter, r *http.Request) {
	var batch messageBatch
	if !decodeBody(w, r, &batch) || !g.checkGroup(w, batch.Group) {
		return
	}
	for _, m := range batch.Messages {
		if err := m.validate(); err != nil {
			g.config.Logger.Warn("message rejected", zap.String("from", m.From.Slot), zap.Error(err))
			rejectRequest(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	select {
	case g.inbox <- batch.Messages:
		w.Header()["Date"] = nil
		w.WriteHeader(http.StatusNoContent)
	case <-g.done:
		rejectRequest(w, "the member has stopped", http.StatusServiceUnavailable)
	default:
		rejectRequest(w, "too many messages are waiting", http.StatusServiceUnavailable)
	}
}

func (g *Group) servePropose(w http.ResponseWriter, r *http.Request) {
	var request proposeRequest
	if !decodeBody(w, r, &request) || !g.checkGroup(w, request.Group) {
		return
	}
	// The early acknowledgement shows the sender that the connection works.
	w.WriteHeader(http.StatusProcessing)
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "consensus.propose")
	defer span.End()
	response, err := g.proposeForwarded(ctx, request)
	response.Code = resultCodeOf(err)
	writeResponse(w, response)
}

func (g *Group) serveRead(w http.ResponseWriter, r *http.Request) {
	var request readRequest
	if !decodeBody(w, r, &request) || !g.checkGroup(w, request.Group) {
		return
	}
	// A member that has lost its leadership confirms no read, so the wait is
	// limited even if the caller sets no deadline.
	ctx, cancel := context.WithTimeout(r.Context(), 2*g.config.ElectionTimeout)
	defer cancel()
	result, err := g.submitRead(ctx, &readCall{indexOnly: true, onHeartbeat: request.OnHeartbeat})
	writeResponse(w, readResponse{Code: resultCodeOf(err), Epoch: result.epoch, Index: result.index})
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := readLimited(r.Body)
	if err == nil {
		err = cbor.Unmarshal(raw, into)
	}
	if err != nil {
		rejectRequest(w, "the body cannot be read", http.StatusBadRequest)
		return false
	}
	return true
}

func (g *Group) checkGroup(w http.ResponseWriter, group string) bool {
	if group != g.config.Group {
		rejectRequest(w, "the message is for another group", http.StatusNotFound)
		return false
	}
	return true
}

func rejectRequest(w http.ResponseWriter, text string, status int) {
	w.Header().Set(headerNotProcessed, "1")
	http.Error(w, text, status)
}

func writeResponse(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(encode(response))
}
