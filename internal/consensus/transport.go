package consensus

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Limits of the message queue of a peer and of a batch of messages.
const (
	messageQueueLength = 4096
	maxBatchBytes      = 4 << 20
	maxBatchMessages   = 512
	messageOverhead    = 64 // approximate size of a message without entries, in bytes
)

// Paths below PathPrefix, and headers.
const (
	pathMessages        = "/messages"
	pathPropose         = "/propose"
	pathRead            = "/read"
	contentType         = "application/cbor"
	headerAuthorization = "Authorization"
	headerNotProcessed  = "Sequoialane-Consensus-Refused"
	bearerPrefix        = "Bearer "
)

// transport sends messages to the other members. Each peer has its own sender
// goroutines, so that an unresponsive peer does not delay the others. Messages
// that cannot be sent are dropped; the core retries those that matter.
type transport struct {
	config          Config
	newConnClient   *http.Client // opens a new connection for each request
	failedSnapshots chan<- MemberID
	counters        counters
	mu              sync.Mutex
	peers           map[string]*peerLink // by slot
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
}

// peerLink is the connection to one peer, with the messages queued for it.
type peerLink struct {
	url       string
	queue     chan message
	snapshots chan message
}

func newTransport(config Config, failedSnapshots chan<- MemberID, groupCounters counters) *transport {
	t := &transport{
		config:          config,
		newConnClient:   newClient(config.RequestTimeout, false, config.Locations),
		failedSnapshots: failedSnapshots,
		counters:        groupCounters,
		peers:           map[string]*peerLink{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	for _, member := range config.Members {
		if member.Slot != config.Self {
			t.peers[member.Slot] = t.openLink(member.Address)
		}
	}
	return t
}

func (t *transport) openLink(address string) *peerLink {
	link := &peerLink{
		url:       "http://" + address + t.config.PathPrefix,
		queue:     make(chan message, messageQueueLength),
		snapshots: make(chan message, 1),
	}
	t.wg.Add(2)
	go t.sendMessages(link)
	go t.sendSnapshots(link)
	return link
}

// linkTo returns the link to a slot, or nil if the slot is unknown in a fixed
// group. Slots of a dynamic group are addresses, so links are opened on demand.
func (t *transport) linkTo(slot string) *peerLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	link := t.peers[slot]
	if link == nil && t.config.Dynamic && slot != t.config.Self && t.ctx.Err() == nil {
		link = t.openLink(slot)
		t.peers[slot] = link
	}
	return link
}

func (t *transport) stop() {
	t.cancel()
	t.wg.Wait()
	t.config.Client.CloseIdleConnections()
}

// send queues messages. It never blocks and drops messages for full queues.
func (t *transport) send(messages []message) {
	for _, m := range messages {
		link := t.linkTo(m.To.Slot)
		if link == nil {
			continue
		}
		queue := link.queue
		if m.Type == msgSnapshot {
			queue = link.snapshots
		}
		select {
		case queue <- m:
		default:
			if m.Type == msgSnapshot {
				t.reportFailedSnapshot(m.To)
			}
		}
	}
}

func (t *transport) reportFailedSnapshot(to MemberID) {
	select {
	case t.failedSnapshots <- to:
	default:
	}
}

func (t *transport) sendMessages(link *peerLink) {
	defer t.wg.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case first := <-link.queue:
			batch := link.collectBatch(first)
			if t.postMessages(link, batch, t.config.RequestTimeout) != nil {
				link.discardQueued()
			}
		}
	}
}

// collectBatch returns first and the queued messages after it, up to the limits
// of a batch.
func (l *peerLink) collectBatch(first message) []message {
	batch := []message{first}
	size := first.size()
	for size < maxBatchBytes && len(batch) < maxBatchMessages {
		select {
		case m := <-l.queue:
			batch = append(batch, m)
			size += m.size()
		default:
			return batch
		}
	}
	return batch
}

// discardQueued discards messages that became stale while the peer did not
// respond.
func (l *peerLink) discardQueued() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (m message) size() int {
	size := messageOverhead
	for _, entry := range m.Entries {
		size += entry.size()
	}
	return size
}

func (t *transport) sendSnapshots(link *peerLink) {
	defer t.wg.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-link.snapshots:
			if t.postMessages(link, []message{m}, t.config.SnapshotTimeout) != nil {
				t.reportFailedSnapshot(m.To)
			}
		}
	}
}

func (t *transport) postMessages(link *peerLink, batch []message, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	err := t.post(ctx, link.url+pathMessages, messageBatch{Group: t.config.Group, Messages: batch}, nil)
	if err != nil {
		t.counters.sendFailures.Inc()
	}
	return err
}

// messageBatch is the body of a request to pathMessages.
type messageBatch struct {
	Group    string    `cbor:"1,keyasint"`
	Messages []message `cbor:"2,keyasint"`
}

func (t *transport) newRequest(ctx context.Context, url string, body any) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encode(body)))
	if err != nil {
		return nil, err
	}
	request.Header["User-Agent"] = nil // keeps net/http from adding one
	telemetry.Inject(ctx, request.Header)
	if t.config.Token != "" {
		request.Header.Set(headerAuthorization, bearerPrefix+t.config.Token)
	}
	return request, nil
}

// post sends body as CBOR and decodes the response into result if it is not nil.
func (t *transport) post(ctx context.Context, url string, body, result any) error {
	return t.postWith(ctx, t.config.Client, url, body, result)
}

func (t *transport) postWith(ctx context.Context, client *http.Client, url string, body, result any) error {
	request, err := t.newRequest(ctx, url, body)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := readLimited(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return &statusError{code: response.StatusCode, notProcessed: response.Header.Get(headerNotProcessed) != ""}
	}
	if result == nil {
		return nil
	}
	return cbor.Unmarshal(raw, result)
}
