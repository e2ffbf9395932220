package catalogfeed

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// ErrIdleTimeout reports a source that sent nothing for the idle timeout.
var ErrIdleTimeout = errors.New("catalogfeed: source sent nothing within the idle timeout")

// maxErrorBodyBytes is the maximum number of bytes read of an error response.
const maxErrorBodyBytes = 4 << 10

// Poll is one request for changes.
type Poll struct {
	Address string        // IP address and port of the source
	Path    string        // ControlPath or PeerPath
	After   uint64        // version of the client's copy
	Wait    time.Duration // how long the server may wait for a change
	Full    bool          // requests a full delta, whatever After is
}

// Message is one line of a response, with the delta that follows it.
type Message struct {
	InContact bool        // whether the source is in contact with a leader
	Version   uint64      // version of the source's copy
	Delta     *plan.Delta // nil if the line is not of type "delta"
}

// Client polls sources.
type Client struct {
	HTTP        *http.Client
	Clock       sys.Clock
	Token       string        // fleet token
	IdleTimeout time.Duration // longest time without any bytes of a response
}

// Do sends the poll and passes each message to handle. It returns when the
// response ends, or with the error of handle as soon as that returns one. It
// returns ErrIdleTimeout if the source sends nothing for IdleTimeout.
func (c *Client) Do(ctx context.Context, poll Poll, handle func(Message) error) error {
	ctx, span := telemetry.StartSpan(ctx, "poll catalog")
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := startIdleWatchdog(ctx, cancel, c.Clock, c.IdleTimeout)
	err := c.do(ctx, poll, watchdog, handle)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, ErrIdleTimeout) {
		c.HTTP.CloseIdleConnections()
		return cause
	}
	return err
}

func (c *Client) do(ctx context.Context, poll Poll, watchdog *idleWatchdog, handle func(Message) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, poll.url(), nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", bearerPrefix+c.Token)
	telemetry.Inject(ctx, request.Header)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
		return fault.Decode(body)
	}
	return readMessages(watchdog.reader(response.Body), handle)
}

func (p Poll) url() string {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(p.After, 10))
	query.Set("wait", p.Wait.String())
	if p.Full {
		query.Set("full", "true")
	}
	return "http://" + p.Address + p.Path + "?" + query.Encode()
}

func readMessages(body io.Reader, handle func(Message) error) error {
	reader := bufio.NewReaderSize(body, maxLineLength)
	for {
		next, err := readLine(reader)
		if err != nil {
			return err
		}
		message := Message{InContact: next.InContact, Version: next.Version}
		if next.Type == lineDelta {
			d, err := readPayload(reader, next.Bytes)
			if err != nil {
				return err
			}
			message.Delta = &d
		}
		if err := handle(message); err != nil {
			return err
		}
		if next.Type != lineAlive {
			return nil
		}
	}
}

func readLine(reader *bufio.Reader) (line, error) {
	raw, err := reader.ReadSlice('\n')
	if err != nil {
		return line{}, fmt.Errorf("%w: response truncated: %w", ErrPayload, err)
	}
	var next line
	if err := json.Unmarshal(raw, &next); err != nil {
		return line{}, fmt.Errorf("%w: %w", ErrPayload, err)
	}
	switch next.Type {
	case lineAlive, lineDelta, lineEnd:
		return next, nil
	default:
		return line{}, fmt.Errorf("%w: unknown line type %q", ErrPayload, next.Type)
	}
}

func readPayload(reader io.Reader, size int64) (plan.Delta, error) {
	if size <= 0 || size > maxPayloadBytes {
		return plan.Delta{}, fmt.Errorf("%w: size out of range: %d bytes", ErrPayload, size)
	}
	return Decompress(io.LimitReader(reader, size))
}
