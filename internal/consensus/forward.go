package consensus

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
)

// maxBodyBytes bounds a request or response, above all a snapshot.
const maxBodyBytes = 512 << 20

var errBodyTooLarge = errors.New("consensus: body is over the limit")

type statusError struct{ code int }

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
	Group   string `cbor:"1,keyasint"`
	Command []byte `cbor:"2,keyasint"`
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

// forward proposes a command at the leader. Only a request that was never sent,
// or an answer of the leader, proves that the command was not proposed.
func (t *transport) forward(ctx context.Context, slot string, command []byte) ([]byte, error) {
	var answer proposeAnswer
	request := proposeRequest{Group: t.config.Group, Command: command}
	err := t.post(ctx, t.peers[slot].url+pathPropose, request, &answer)
	if neverSent(err) {
		return nil, ErrNotLeader
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return answer.Result, answer.Code.err()
}

// askReadPoint asks the leader for a read point.
func (t *transport) askReadPoint(ctx context.Context, slot string) (readAnswer, error) {
	var answer readAnswer
	err := t.post(ctx, t.peers[slot].url+pathRead, readRequest{Group: t.config.Group}, &answer)
	if err != nil {
		return answer, fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	return answer, answer.Code.err()
}

func neverSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	var status *statusError
	return errors.As(err, &status)
}

func readLimited(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(raw) > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	return raw, err
}
