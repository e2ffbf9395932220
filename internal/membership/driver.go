package membership

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	tickPeriod       = 100 * time.Millisecond
	exchangePeriod   = 60 * time.Second
	joinRetryDelay   = time.Second // used until another member is known
	exchangeTimeout  = 5 * time.Second
	maxExchangeBytes = 4 << 20
)

// ExchangePath is the path of the full exchange on the peer port.
const ExchangePath = "/peer/v1/membership/exchange"

var (
	packetsSent     = metrics.NewCounter(`sequoialane_gossip_packets_total{direction="sent"}`)
	packetsReceived = metrics.NewCounter(`sequoialane_gossip_packets_total{direction="received"}`)
	packetsDropped  = metrics.NewCounter(`sequoialane_gossip_packets_dropped_total`)
	bytesSent       = metrics.NewCounter(`sequoialane_gossip_bytes_total{direction="sent"}`)
	bytesReceived   = metrics.NewCounter(`sequoialane_gossip_bytes_total{direction="received"}`)
)

// Driver runs a Table over UDP, and the full exchange over HTTP.
type Driver struct {
	table  *Table
	conn   net.PacketConn
	client *http.Client
	token  string
	seeds  []string // peer addresses
	clock  sys.Clock
	rng    *rand.Rand // used by the exchange loop only
	log    *zap.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// DriverOptions configures a Driver.
type DriverOptions struct {
	Table  *Table
	Conn   net.PacketConn // UDP socket of the gossip address
	Client *http.Client   // for requests to peers
	Token  string         // fleet token
	Seeds  []string       // peer addresses used to join the fleet
	Clock  sys.Clock
	Rand   *rand.Rand
	Log    *zap.Logger
}

// StartDriver starts the gossip loops. Stop ends them and closes the socket.
func StartDriver(o DriverOptions) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		table: o.Table, conn: o.Conn, client: o.Client, token: o.Token,
		seeds: o.Seeds, clock: o.Clock, rng: o.Rand, log: o.Log, cancel: cancel,
	}
	d.wg.Add(3)
	go d.receive()
	go d.tick(ctx)
	go d.exchangeLoop(ctx)
	return d
}

// Stop ends the gossip loops and closes the socket. It does not announce that
// the member leaves.
func (d *Driver) Stop() {
	d.cancel()
	_ = d.conn.Close()
	d.wg.Wait()
}

// Send sends packets returned by methods of the Table.
func (d *Driver) Send(packets []Packet) {
	for _, p := range packets {
		to, err := netip.ParseAddrPort(p.To)
		if err != nil {
			continue
		}
		if _, err := d.conn.WriteTo(p.Payload, net.UDPAddrFromAddrPort(to)); err != nil {
			packetsDropped.Inc()
			continue
		}
		packetsSent.Inc()
		bytesSent.Add(len(p.Payload))
	}
}

func (d *Driver) receive() {
	defer d.wg.Done()
	buffer := make([]byte, MaxPacket+1)
	for {
		n, _, err := d.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			packetsDropped.Inc()
			continue
		}
		packetsReceived.Inc()
		bytesReceived.Add(n)
		out, err := d.table.Receive(d.clock.Now(), buffer[:n])
		if err != nil {
			packetsDropped.Inc()
			continue
		}
		d.Send(out)
	}
}

func (d *Driver) tick(ctx context.Context) {
	defer d.wg.Done()
	ticker := d.clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
			d.Send(d.table.Tick(d.clock.Now()))
		}
	}
}

// exchangeLoop joins the fleet through the seeds, then periodically exchanges
// tables with a random member. It also contacts each seed that is not in the
// table, so that two parts of a fleet that started separately merge.
func (d *Driver) exchangeLoop(ctx context.Context) {
	defer d.wg.Done()
	for {
		joined := d.exchangeRound(ctx)
		wait := exchangePeriod
		if !joined {
			wait = joinRetryDelay
		}
		if d.clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

func (d *Driver) exchangeRound(ctx context.Context) (joined bool) {
	known := map[string]bool{d.table.Self().PeerAddress: true}
	var others []string
	for _, m := range d.table.Members() {
		if m.Present() && !known[m.PeerAddress] {
			others = append(others, m.PeerAddress)
			known[m.PeerAddress] = true
		}
	}
	joined = len(others) > 0 || len(d.seeds) == 0
	if len(others) > 0 {
		_ = d.Exchange(ctx, others[d.rng.IntN(len(others))])
	}
	for _, seed := range d.seeds {
		if !known[seed] && d.Exchange(ctx, seed) == nil {
			joined = true
		}
	}
	return joined
}

// Exchange runs a full exchange of tables with the member at the peer address.
func (d *Driver) Exchange(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := d.post(ctx, peer, d.table.StartExchange())
	if err != nil {
		return trace.Wrap(err)
	}
	push, err := d.table.FinishExchange(d.clock.Now(), reply)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(reply.Differ) == 0 {
		return nil
	}
	_, err = d.post(ctx, peer, push)
	return trace.Wrap(err)
}

func (d *Driver) post(ctx context.Context, peer string, q ExchangeRequest) (ExchangeResponse, error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		return ExchangeResponse{}, trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+ExchangePath, bytes.NewReader(body))
	if err != nil {
		return ExchangeResponse{}, trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+d.token)
	request.Header.Set("Content-Type", "application/cbor")
	response, err := d.client.Do(request)
	if err != nil {
		return ExchangeResponse{}, trace.Wrap(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxExchangeBytes))
	if err != nil {
		return ExchangeResponse{}, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return ExchangeResponse{}, trace.BadParameter("membership: exchange request failed with HTTP status %d", response.StatusCode)
	}
	bytesReceived.Add(len(raw))
	bytesSent.Add(len(body))
	var reply ExchangeResponse
	if err := decodeMode.Unmarshal(raw, &reply); err != nil {
		return ExchangeResponse{}, ErrMalformed
	}
	return reply, nil
}

// ExchangeHandler returns the handler of ExchangePath. The caller checks the
// fleet token.
func ExchangeHandler(table *Table, clock sys.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExchangeBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var q ExchangeRequest
		if err := decodeMode.Unmarshal(raw, &q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reply, err := table.HandleExchange(clock.Now(), q)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body, err := cbor.Marshal(reply)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(body)
	})
}
