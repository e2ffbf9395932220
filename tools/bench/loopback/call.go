package loopback

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// Request headers that control the stub upstream.
const (
	headerServiceTime = "Bench-Size-Ns"
	headerProbe       = "Bench-Probe"
	headerPeer        = "Bench-Peer"
)

// call is one attempt or probe that is sent to a target.
type call struct {
	target      int
	serviceTime time.Duration
	probe       bool
	peer        bool // sent by another entry
}

// send runs the call in the background and passes its outcome to done, with the
// lock held, unless the call was cancelled before. The returned function must be
// called with the lock held.
func (e *Engine) send(client *http.Client, c call, done func(owner.Outcome)) (cancel func()) {
	ctx, stop := context.WithCancel(e.ctx)
	canceled := false
	go func() {
		defer stop()
		outcome := e.do(ctx, client, c)
		e.withLock(func() {
			if !canceled {
				done(outcome)
			}
		})
	}()
	return func() {
		canceled = true
		stop()
	}
}

func (e *Engine) do(ctx context.Context, client *http.Client, c call) owner.Outcome {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.servers[c.target].address+"/", nil)
	if err != nil {
		panic("bench: " + err.Error())
	}
	request.Header.Set(headerServiceTime, strconv.FormatInt(int64(c.serviceTime), 10))
	request.Header.Set(headerProbe, strconv.FormatBool(c.probe))
	request.Header.Set(headerPeer, strconv.FormatBool(c.peer))
	response, err := client.Do(request)
	if err != nil {
		return owner.Outcome{Kind: owner.ConnectFailed, ServiceTime: time.Since(started), BytesSent: true}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	outcome := owner.Outcome{Kind: owner.OK, ServiceTime: time.Since(started), BytesSent: true}
	switch {
	case err != nil:
		outcome.Kind = owner.Truncated
	case response.Header.Get("X-Shed") != "":
		outcome.Kind = owner.Shed
		outcome.NotRun = true
	case response.StatusCode >= http.StatusInternalServerError:
		outcome.Kind = owner.UpstreamError
	}
	return outcome
}
