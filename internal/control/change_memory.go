package control

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/bodybuffer"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/jsonshape"
)

// changeCost is the memory of a change besides its body, until it is committed: the
// copies of its text and, for each value, what it takes as decoded, as a part of a typed
// item and as a reported error.
var changeCost = jsonshape.Cost{Byte: 8, Element: 288, Member: 320}

// limitChanges reads the body of a POST request to its end and reserves the memory for
// what next decodes from it. It rejects a body that does not fit. Next reads no body of
// other requests.
func limitChanges(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout)) // tests have no connection
		body, err := readChange(r)
		if err != nil {
			fault.Write(w, r.Header.Get(fault.HeaderRequestID), bodyFailure(err))
			return
		}
		defer body.Release()
		r.Body = io.NopCloser(bytes.NewReader(body.Bytes()))
		next.ServeHTTP(w, r)
	})
}

func readChange(r *http.Request) (*bodybuffer.Buffer, error) {
	body, err := bodybuffer.Read(r.Context(), nil, r.Body, r.ContentLength, maxChangeBytes)
	if err != nil {
		return nil, err
	}
	if err := reserveChange(body); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

func reserveChange(body *bodybuffer.Buffer) error {
	shape, err := jsonshape.Of(body.Bytes())
	if err != nil {
		return err
	}
	if err := body.Reserve(changeCost.Of(shape)); err != nil {
		return fmt.Errorf("%d bytes with %d items of lists and %d fields: %w", shape.Bytes, shape.Elements, shape.Members, err)
	}
	return nil
}

func bodyFailure(err error) *fault.Error {
	var netErr net.Error
	switch {
	case errors.Is(err, bodybuffer.ErrTooLarge):
		return fault.New(fault.BodyTooLarge, err.Error())
	case errors.Is(err, bodybuffer.ErrNoMemory):
		return fault.New(fault.Overloaded, err.Error()).WithRetryAfter(retryAfterHint)
	case errors.As(err, &netErr) && netErr.Timeout():
		return fault.New(fault.SlowSender, "the body did not arrive in time")
	default:
		return fault.New(fault.BadRequest, err.Error())
	}
}
