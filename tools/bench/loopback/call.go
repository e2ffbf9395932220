package loopback

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoialane/sequoialane/internal/owner"
)

// Headers that tell a stand-in what to do.
const (
	headerSize  = "Bench-Size-Ns"
	headerProbe = "Bench-Probe"
	headerPeer  = "Bench-Peer"
)

// call is one attempt or probe.
type call struct {
	target int
	size   time.Duration
	probe  bool
	peer   bool
}

// send runs the call in the background and reports its outcome under the lock,
// unless it was cancelled before.
func (e *Engine) send(client *http.Client, c call, done func(owner.Outcome)) (cancel func()) {
	ctx, stop := context.WithCancel(e.ctx)
	canceled := false
	go func() {
		defer stop()
		outcome := e.do(ctx, client, c)
		e.locked(func() {
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
	request.Header.Set(headerSize, strconv.FormatInt(int64(c.size), 10))
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
