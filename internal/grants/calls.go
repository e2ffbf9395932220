package grants

import (
	"errors"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/quota"
)

// Paths of the calls between entries.
const (
	AcquirePath  = "/fleet/v1/grants"
	ReleasePath  = "/fleet/v1/releases"
	WithdrawPath = "/fleet/v1/withdrawals"
)

// AcquireRequest asks the owner of a group for a grant.
type AcquireRequest struct {
	Group   Group         `json:"group" cbor:"1,keyasint"`
	Request pool.Request  `json:"request" cbor:"2,keyasint"`
	MaxWait time.Duration `json:"max_wait" cbor:"3,keyasint"`
}

// AcquireResponse holds the grant, or the reason why the request was rejected.
type AcquireResponse struct {
	Grant     pool.Grant `json:"grant" cbor:"1,keyasint"`
	Rejection string     `json:"refused,omitempty" cbor:"2,keyasint,omitempty"` // a key of rejections, or rejectionQuota; empty: granted
	// RetryAfter is set with rejectionQuota.
	RetryAfter time.Duration `json:"retry_after,omitempty" cbor:"3,keyasint,omitempty"`
}

// rejectionQuota is the rejection of a request whose tenant exceeds its limit.
const rejectionQuota = "quota"

// rejected returns the response for a request that got no grant because of err.
func rejected(err error) AcquireResponse {
	var exceeded *quota.ExceededError
	if errors.As(err, &exceeded) {
		return AcquireResponse{Rejection: rejectionQuota, RetryAfter: exceeded.RetryAfter}
	}
	return AcquireResponse{Rejection: rejectionOf(err)}
}

// rejection returns the error of a rejected request, or nil. A rejection that is not
// known, as of a later release, counts as busy.
func (r AcquireResponse) rejection() error {
	switch {
	case r.Rejection == "":
		return nil
	case r.Rejection == rejectionQuota:
		return &quota.ExceededError{RetryAfter: r.RetryAfter}
	case rejections[r.Rejection] == nil:
		return pool.ErrBusy
	default:
		return rejections[r.Rejection]
	}
}

// ReleaseRequest ends a grant and reports its outcome.
type ReleaseRequest struct {
	Group   Group        `json:"group" cbor:"1,keyasint"`
	LeaseID uint64       `json:"lease" cbor:"2,keyasint"`
	Outcome pool.Outcome `json:"outcome" cbor:"3,keyasint"`
}

// WithdrawRequest ends what an AcquireRequest has led to whose result its sender
// does not know.
type WithdrawRequest struct {
	Group  Group       `json:"group" cbor:"1,keyasint"`
	Sender pool.Sender `json:"sender" cbor:"2,keyasint"`
	Call   uint64      `json:"call" cbor:"3,keyasint"`
}

var rejections = map[string]error{
	"busy":      pool.ErrBusy,
	"no_target": pool.ErrNoTarget,
	"budget":    pool.ErrBudget,
	"no_credit": quota.ErrNoResponse,
}

func rejectionOf(err error) string {
	for name, e := range rejections {
		if errors.Is(err, e) {
			return name
		}
	}
	return "busy"
}

// Handler returns the handler for calls of other entries.
func (b *Broker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+AcquirePath, b.serveAcquire)
	mux.HandleFunc("POST "+ReleasePath, b.serveRelease)
	mux.HandleFunc("POST "+WithdrawPath, b.serveWithdraw)
	mux.HandleFunc("POST "+EvidencePath, b.serveEvidence)
	mux.HandleFunc("POST "+ExplanationPath, b.serveExplanation)
	mux.HandleFunc("GET "+ExplainPath, b.serveExplain)
	return mux
}

func (b *Broker) serveAcquire(w http.ResponseWriter, r *http.Request) {
	var request AcquireRequest
	call, ok := peerhttp.Decode(w, r, &request)
	if !ok {
		return
	}
	if v := b.options.View(); !request.Group.isKnown(v) {
		if len(v.Targets) == 0 {
			// This entry has just started. The sender then asks the next owner.
			http.Error(w, "no copy of the fleet state yet", http.StatusServiceUnavailable)
			return
		}
		call.Respond(AcquireResponse{Rejection: rejectionOf(pool.ErrNoTarget)})
		return
	}
	g, err := b.acquireHere(r.Context(), request.Group, request.Request, min(request.MaxWait, maxOwnerWait))
	if err != nil {
		call.Respond(rejected(err))
		return
	}
	if r.Context().Err() != nil {
		b.pool(request.Group).Release(g.LeaseID, pool.Outcome{Kind: pool.Unsent})
		return
	}
	call.Respond(AcquireResponse{Grant: g})
}

func (b *Broker) serveRelease(w http.ResponseWriter, r *http.Request) {
	var request ReleaseRequest
	call, ok := peerhttp.Decode(w, r, &request)
	if !ok {
		return
	}
	if p := b.existingPool(request.Group); p != nil {
		p.Release(request.LeaseID, request.Outcome)
	}
	call.RespondEmpty()
}

func (b *Broker) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	var request WithdrawRequest
	call, ok := peerhttp.Decode(w, r, &request)
	if !ok {
		return
	}
	if request.Group.isKnown(b.options.View()) {
		b.pool(request.Group).Withdraw(request.Sender, request.Call)
	}
	call.RespondEmpty()
}
