package gateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/bodybuffer"
	"github.com/sequoialane/sequoialane/internal/fault"
)

// readBody reads the request body, which must arrive by the request's deadline. The
// buffer is nil if there is none.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request, limit int64) (*bodybuffer.Buffer, *fault.Error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(req.deadline); err != nil {
		return nil, fault.Newf(fault.Internal, "no read deadline: %v", err).WithEffect(fault.NotRun)
	}
	body, err := bodybuffer.Read(r.Context(), g.options.BodyMemory, r.Body, r.ContentLength, limit)
	_ = controller.SetReadDeadline(time.Time{}) // supported, since the call above succeeded
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

func bodyError(err error) *fault.Error {
	var netErr net.Error
	switch {
	case errors.Is(err, bodybuffer.ErrTooLarge):
		return fault.New(fault.BodyTooLarge, err.Error())
	case errors.Is(err, bodybuffer.ErrNoMemory):
		return fault.New(fault.Overloaded, err.Error()).WithRetryAfter(retryAfterBodyMemory)
	case errors.As(err, &netErr) && netErr.Timeout():
		return fault.New(fault.SlowSender, "the body did not arrive in time")
	default:
		return fault.Newf(fault.BadRequest, "the body cannot be read: %v", err)
	}
}
