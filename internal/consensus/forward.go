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

// maxBodyBytes bounds a request or response, above all a snapshot.
const maxBodyBytes = 512 << 20

var (
	errBodyTooLarge = errors.New("consensus: body is over the limit")
	errSilent       = errors.New("consensus: the leader does not acknowledge the request")
)

type statusError struct {
	code    int
	refused bool // by Handler itself, which did nothing then
}

func (e *statusError) Error() string {
	return fmt.Sprintf("consensus: peer answered with status %d", e.code)
}

// resultCode tells what became of a forwarded call.
type resultCode uint8

const (
	codeOK          resultCode = 0
	codeOtherLeader resultCode = 1 // nothing was done
	codeBusy        resultCode = 2 // nothing was done
	codeStopped     resultCode = 3 // nothing was done
	codeUnknown     resultCode = 4
)

type proposeRequest struct {
	Group   string    `cbor:"1,keyasint"`
	Command []byte    `cbor:"2,keyasint"`
	Lead    lead      `cbor:"3,keyasint"`
	ID      uuid.UUID `cbor:"4,keyasint"` // the same in a repeated request
	Stamp   int64     `cbor:"5,keyasint"` // latest message.Sent that the leader is known to have reached
}

type proposeAnswer struct {
	Code   resultCode `cbor:"1,keyasint"`
	Result []byte     `cbor:"2,keyasint,omitempty"`
}

type readRequest struct {
	Group string `cbor:"1,keyasint"`
}

type readAnswer struct {
	Code  resultCode `cbor:"1,keyasint"`
	Epoch uint64     `cbor:"2,keyasint,omitempty"`
	Index uint64     `cbor:"3,keyasint,omitempty"`
}

func codeOf(err error) resultCode {
	switch {
	case err == nil:
		return codeOK
	case errors.Is(err, errOtherLeader), errors.Is(err, ErrNotLeader):
		return codeOtherLeader
	case errors.Is(err, ErrBusy):
		return codeBusy
	case errors.Is(err, ErrStopped):
		return codeStopped
	}
	return codeUnknown
}

func (c resultCode) err() error {
	switch c {
	case codeOK:
		return nil
	case codeOtherLeader, codeStopped:
		return errOtherLeader
	case codeBusy:
		return ErrBusy
	}
	return ErrUnknownOutcome
}

// forward proposes a command at the leader. A request without an answer is
// repeated once on a fresh connection, because the first one may be silent; the
// leader recognises its ID. Only a request that was never sent, or an answer to
// the first one, proves that the command was not proposed.
func (t *transport) forward(ctx context.Context, slot string, request proposeRequest) ([]byte, error) {
	ctx, span := telemetry.Start(ctx, "consensus.forward")
	defer span.End()
	t.counters.forwards.Inc()
	answer, err := t.forwardOnce(ctx, t.config.Client, t.config.ElectionTimeout, slot, request)
	if err == nil {
		return answer.Result, answer.Code.err()
	}
	if neverSent(err) {
		return nil, ErrNotLeader
	}
	if ctx.Err() == nil {
		t.counters.repeats.Inc()
		answer, err = t.forwardOnce(ctx, t.fresh, forwardRetention, slot, request)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if answer.Code != codeOK {
		// Nothing was done for the second request, but maybe for the first.
		return nil, ErrUnknownOutcome
	}
	return answer.Result, nil
}

// forwardOnce gives up a connection on which the early acknowledgement does not
// arrive within the request time-out, or the answer within answerTimeout
// after that.
func (t *transport) forwardOnce(ctx context.Context, client *http.Client, answerTimeout time.Duration, slot string, request proposeRequest) (proposeAnswer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(t.config.RequestTimeout, func() { cancel(errSilent) })
	defer silent.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			silent.Reset(answerTimeout)
			return nil
		},
	})
	var answer proposeAnswer
	err := t.postBy(ctx, client, t.link(slot).url+pathPropose, request, &answer)
	if err != nil && context.Cause(ctx) == errSilent {
		err = errSilent
	}
	return answer, err
}

// askReadPoint asks the leader for a read point.
func (t *transport) askReadPoint(ctx context.Context, slot string) (readAnswer, error) {
	var answer readAnswer
	err := t.post(ctx, t.link(slot).url+pathRead, readRequest{Group: t.config.Group}, &answer)
	if err != nil {
		return answer, fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	return answer, answer.Code.err()
}

// neverSent reports whether the peer did nothing. An error status without the
// header of Handler may come from a layer around it and proves nothing.
func neverSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	var status *statusError
	return errors.As(err, &status) && status.refused
}

func readLimited(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(raw) > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	return raw, err
}
