package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Paths between control members, on the peer address.
const (
	proposePath   = "/internal/v1/propose"
	readPointPath = "/internal/v1/read-point"
)

const maxInternalBody = 1 << 20 // bytes of an answer between members

// errNoLeader reports that no leader could be asked; nothing was proposed.
var errNoLeader = errors.New("control: no leader is known or it refuses the connection")

// Peers describes how to reach the other control members.
type Peers struct {
	Addresses map[string]string // peer address by member name
	HTTP      *http.Client
	Token     string // fleet token
}

// leaderClient passes requests on to the leader.
type leaderClient struct{ peers Peers }

func newLeaderClient(peers Peers) *leaderClient { return &leaderClient{peers: peers} }

func (c *leaderClient) propose(ctx context.Context, status GroupStatus, ch plan.Change) (plan.Result, error) {
	var result plan.Result
	err := c.call(ctx, status, proposePath, ch, &result)
	return result, err
}

// readPoint is the answer to a read barrier.
type readPoint struct {
	Version uint64 `json:"version"`
}

func (c *leaderClient) readPoint(ctx context.Context, status GroupStatus) (uint64, error) {
	var point readPoint
	err := c.call(ctx, status, readPointPath, struct{}{}, &point)
	return point.Version, err
}

func (c *leaderClient) call(ctx context.Context, status GroupStatus, path string, in, out any) error {
	address, known := c.peers.Addresses[status.Leader]
	if !known || status.Leader == status.Member {
		return errNoLeader
	}
	encoded, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.peers.Token)
	request.Header.Set("Content-Type", "application/json")
	telemetry.Inject(ctx, request.Header)
	response, err := c.peers.HTTP.Do(request)
	if err != nil {
		return connectError(err)
	}
	defer response.Body.Close()
	return decodeInternal(response, out)
}

// connectError tells a refused connection, after which nothing was sent, from
// a lost answer.
func connectError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errNoLeader
	}
	return err
}

func decodeInternal(response *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxInternalBody))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(body, out)
	}
	refusal := fault.Decode(body)
	if refusal.Effect == fault.NotRun {
		return errors.Join(consensus.ErrNotLeader, refusal)
	}
	return refusal
}
