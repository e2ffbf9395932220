package consensus

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/google/uuid"

	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// maxBodyBytes limits the body of a request or response. Snapshots are the
// largest bodies.
const maxBodyBytes = 512 << 20

var (
	errBodyTooLarge      = errors.New("consensus: body is over the limit")
	errNoLink            = errors.New("consensus: no link to the leader: its slot is unknown or this member stops")
	errNoAcknowledgement = errors.New("consensus: the leader does not acknowledge the request")
)

// statusError is a response with a status other than 2xx.
type statusError struct {
	code         int
	notProcessed bool // Handler rejected the request without any effect
}

func (e *statusError) Error() string {
	return fmt.Sprintf("consensus: peer answered with status %d", e.code)
}

// resultCode is the result of a forwarded call.
type resultCode uint8

const (
	codeOK         resultCode = 0
	codeNotLeading resultCode = 1 // the call had no effect
	codeBusy       resultCode = 2 // the call had no effect
	codeStopped    resultCode = 3 // the call had no effect
	codeUnknown    resultCode = 4 // the call may have taken effect
	codeTooSmall   resultCode = 5 // the call had no effect; an earlier release reads it as codeUnknown
)

type proposeRequest struct {
	Group      string     `cbor:"1,keyasint"`
	Command    []byte     `cbor:"2,keyasint"`
	Leadership leadership `cbor:"3,keyasint"`
	ID         uuid.UUID  `cbor:"4,keyasint"` // the same in a retried request
	LeaderSent int64      `cbor:"5,keyasint"` // latest message.Sent received from the leader; shows the age of the request
}

type proposeResponse struct {
	Code   resultCode `cbor:"1,keyasint"`
	Result []byte     `cbor:"2,keyasint,omitempty"`
	Epoch  uint64     `cbor:"3,keyasint,omitempty"` // of the entry of the command; 0 in the response of an earlier release
	Index  uint64     `cbor:"4,keyasint,omitempty"` // of the entry of the command
}

type readRequest struct {
	Group       string `cbor:"1,keyasint"`
	OnHeartbeat bool   `cbor:"2,keyasint,omitempty"` // an earlier release ignores it and sends a heartbeat at once
}

type readResponse struct {
	Code  resultCode `cbor:"1,keyasint"`
	Epoch uint64     `cbor:"2,keyasint,omitempty"`
	Index uint64     `cbor:"3,keyasint,omitempty"`
}

func resultCodeOf(err error) resultCode {
	switch {
	case err == nil:
		return codeOK
	case errors.Is(err, errNotLeading), errors.Is(err, ErrNotLeader):
		return codeNotLeading
	case errors.Is(err, ErrBusy):
		return codeBusy
	case errors.Is(err, ErrStopped):
		return codeStopped
	case errors.Is(err, ErrGroupTooSmall):
		return codeTooSmall
	}
	return codeUnknown
}

func (c resultCode) err() error {
	switch c {
	case codeOK:
		return nil
	case codeNotLeading, codeStopped:
		return errNotLeading
	case codeBusy:
		return ErrBusy
	case codeTooSmall:
		return ErrGroupTooSmall
	}
	return ErrUnknownOutcome
}

// forward proposes a command on the leader. A request without a response is
// retried once on a new connection, because the first connection may be dead;
// the leader recognises the request by its ID. Only a request that was not
// processed, or a response to the first one, proves that the command was not
// proposed.
func (t *transport) forward(ctx context.Context, slot string, request proposeRequest) (proposeResponse, error) {
	ctx, span := telemetry.StartSpan(ctx, "consensus.forward")
	defer span.End()
	t.counters.forwards.Inc()
	response, err := t.forwardOnce(ctx, t.config.Client, t.config.ElectionTimeout, slot, request)
	if err == nil {
		return response, response.Code.err()
	}
	if wasNotProcessed(err) {
		return proposeResponse{}, ErrNotLeader
	}
	if ctx.Err() == nil {
		t.counters.forwardRepeats.Inc()
		response, err = t.forwardOnce(ctx, t.newConnClient, forwardRetention, slot, request)
	}
	if err != nil {
		return proposeResponse{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if response.Code != codeOK {
		// The second request had no effect, but the first one may have had.
		return proposeResponse{}, ErrUnknownOutcome
	}
	return response, nil
}

// forwardOnce sends a request and waits for its response. It fails if the early
// acknowledgement does not arrive within the request timeout, or the response
// not within responseTimeout after that.
func (t *transport) forwardOnce(ctx context.Context, client *http.Client, responseTimeout time.Duration, slot string, request proposeRequest) (proposeResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(t.config.RequestTimeout, func() { cancel(errNoAcknowledgement) })
	defer timer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			timer.Reset(responseTimeout)
			return nil
		},
	})
	var response proposeResponse
	link := t.linkTo(slot)
	if link == nil {
		return response, errNoLink
	}
	err := t.postWith(ctx, client, link.url+pathPropose, request, &response)
	if err != nil && context.Cause(ctx) == errNoAcknowledgement {
		err = errNoAcknowledgement
	}
	return response, err
}

// requestReadIndex requests a read index from the leader.
func (t *transport) requestReadIndex(ctx context.Context, slot string, onHeartbeat bool) (readResponse, error) {
	var response readResponse
	link := t.linkTo(slot)
	if link == nil {
		return response, fmt.Errorf("%w: %w", ErrNotLeader, errNoLink)
	}
	err := t.post(ctx, link.url+pathRead, readRequest{Group: t.config.Group, OnHeartbeat: onHeartbeat}, &response)
	if err != nil {
		return response, fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	return response, response.Code.err()
}

// wasNotProcessed reports whether a failed request certainly had no effect on
// the peer. An error status without the header set by Handler may come from a
// layer around Handler and proves nothing.
func wasNotProcessed(err error) bool {
	if errors.Is(err, errNoLink) {
		return true
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	var status *statusError
	return errors.As(err, &status) && status.notProcessed
}

func readLimited(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(raw) > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	return raw, err
}
