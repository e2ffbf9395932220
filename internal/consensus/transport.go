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

// Limits of a batch of messages.
const (
	queuedMessages   = 4096
	maxBatchBytes    = 4 << 20
	maxBatchMessages = 512
	messageOverhead  = 64 // bytes of a message without entries, roughly
)

// Paths below PathPrefix, and headers.
const (
	pathMessages  = "/messages"
	pathPropose   = "/propose"
	pathRead      = "/read"
	contentType   = "application/cbor"
	authorization = "Authorization"
	headerRefused = "Sequoialane-Consensus-Refused"
	bearer        = "Bearer "
)

// transport sends messages with one sender for each peer, so that a silent peer
// delays no other. Messages that cannot be sent are dropped; the core repeats
// what matters.
type transport struct {
	config   Config
	fresh    *http.Client // opens a connection for each request
	failed   chan<- MemberID
	counters counters
	mu       sync.Mutex
	peers    map[string]*peerLink // by slot
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

type peerLink struct {
	url       string
	queue     chan message
	snapshots chan message
}

func newTransport(config Config, failed chan<- MemberID, counted counters) *transport {
	t := &transport{
		config:   config,
		fresh:    newClient(config.RequestTimeout, false),
		failed:   failed,
		counters: counted,
		peers:    map[string]*peerLink{},
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
		queue:     make(chan message, queuedMessages),
		snapshots: make(chan message, 1),
	}
	t.wg.Add(2)
	go t.sendMessages(link)
	go t.sendSnapshots(link)
	return link
}

// link returns the link to a slot, nil for an unknown one of a fixed group.
// Slots of a dynamic group are addresses, so their links are opened on demand.
func (t *transport) link(slot string) *peerLink {
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

// send queues messages and never blocks.
func (t *transport) send(messages []message) {
	for _, m := range messages {
		link := t.link(m.To.Slot)
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
				t.reportFailed(m.To)
			}
		}
	}
}

func (t *transport) reportFailed(to MemberID) {
	select {
	case t.failed <- to:
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
			batch := link.collect(first)
			if t.postMessages(link, batch, t.config.RequestTimeout) != nil {
				link.dropQueued()
			}
		}
	}
}

// collect adds what is queued, up to the limits of a batch.
func (l *peerLink) collect(first message) []message {
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

// dropQueued drops messages that grew old while the peer did not answer.
func (l *peerLink) dropQueued() {
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
				t.reportFailed(m.To)
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
	request.Header.Set("Content-Type", contentType)
	telemetry.Inject(ctx, request.Header)
	if t.config.Token != "" {
		request.Header.Set(authorization, bearer+t.config.Token)
	}
	return request, nil
}

// post sends body in CBOR and decodes the response into answer, if not nil.
func (t *transport) post(ctx context.Context, url string, body, answer any) error {
	return t.postBy(ctx, t.config.Client, url, body, answer)
}

func (t *transport) postBy(ctx context.Context, client *http.Client, url string, body, answer any) error {
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
		return &statusError{code: response.StatusCode, refused: response.Header.Get(headerRefused) != ""}
	}
	if answer == nil {
		return nil
	}
	return cbor.Unmarshal(raw, answer)
}
