package upstreamclient

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/retryafter"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Errors of an attempt.
var (
	ErrWrongID      = errors.New("upstreamclient: the answer carries another request id")
	ErrUndefinedEnd = errors.New("upstreamclient: the answer has neither a length nor a final chunk")
)

// classifyResponse returns the outcome kind of a complete response, and whether
// the target states that it did not run the request.
func classifyResponse(status int, h http.Header) (kind owner.OutcomeKind, notRun bool) {
	notRun = status >= http.StatusBadRequest && h.Get(HeaderNotRun) == "1"
	overloadStatus := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if overloadStatus && h.Get("Retry-After") != "" || h.Get(HeaderShed) == "1" && status >= http.StatusBadRequest {
		return owner.Shed, notRun
	}
	if status >= http.StatusInternalServerError {
		return owner.UpstreamError, notRun
	}
	return owner.OK, notRun
}

// statedRetryAfter returns for how long the target wants no request, as a response
// with status 503 states; 0: it does not, or not in a way that can be read.
func statedRetryAfter(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	wait, _ := retryafter.Parse(resp.Header.Get(retryafter.Header), time.Now())
	return wait
}

// classifyError returns the outcome kind of an attempt that ended without a
// complete response.
func classifyError(ctx context.Context, err error, sent, bodyFailed bool) owner.OutcomeKind {
	if errors.Is(err, ErrWrongID) {
		return owner.WrongID
	}
	if bodyFailed || errors.Is(ctx.Err(), context.Canceled) {
		return owner.Canceled
	}
	if !sent {
		return owner.ConnectFailed
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || isTimeout(err) {
		return owner.Timeout
	}
	return owner.Truncated
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// checkID returns ErrWrongID if the response carries another request id than the
// one sent. A missing id is accepted from a target that did not announce that it
// echoes the id.
func checkID(t upstream.Target, h http.Header, want string) error {
	got := h.Get(fault.HeaderRequestID)
	if got == want || got == "" && !t.EchoesRequestID {
		return nil
	}
	return ErrWrongID
}

// hasDefinedEnd reports whether a complete response can be distinguished from a
// truncated one.
func hasDefinedEnd(method string, resp *http.Response) bool {
	bodyless := method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	return bodyless || chunked || resp.ContentLength >= 0
}
