package claims

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/telemetry"
)

var (
	callsOK     = metrics.NewCounter(`sequoialane_claims_member_calls_total{result="ok"}`)
	callsFailed = metrics.NewCounter(`sequoialane_claims_member_calls_total{result="failed"}`)
	callSeconds = metrics.NewHistogram(`sequoialane_claims_member_call_seconds`)
)

// callMember calls one member, which may be this entry. leader is set if the
// member returned the name of another leader.
func (c *GroupClient) callMember(ctx context.Context, group GroupSettings, member MemberSettings, callName string, cmd command, timeout time.Duration) (o outcome, leader string, err error) {
	if callName == callWait {
		timeout += longPollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begin := c.cfg.Clock.Now()
	local := c.cfg.Local.member(group.Name)
	if member.Name == c.cfg.Self && local != nil {
		o, leader, err = callLocal(ctx, local, callName, cmd)
	} else {
		o, leader, err = c.callRemote(ctx, group.Name, member, callName, cmd)
	}
	if err != nil {
		callsFailed.Inc()
		return o, leader, err
	}
	callsOK.Inc()
	if callName != callWait {
		callSeconds.Update(c.cfg.Clock.Now().Sub(begin).Seconds())
	}
	return o, leader, nil
}

// longPollLimit returns how long a member may block a wait call, so that its
// response arrives before ctx ends.
func longPollLimit(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return longPollTimeout
	}
	return min(longPollTimeout, time.Until(deadline)/2)
}

func callLocal(ctx context.Context, m *Member, callName string, cmd command) (o outcome, leader string, err error) {
	if callName == callWait {
		o, err = m.wait(ctx, cmd, longPollLimit(ctx))
	} else {
		o, err = m.call(ctx, cmd)
	}
	var other notLeaderError
	if errors.As(err, &other) {
		leader = other.leader
	}
	return o, leader, err
}

func (c *GroupClient) callRemote(ctx context.Context, group string, member MemberSettings, callName string, cmd command) (outcome, string, error) {
	request := commandToWire(cmd)
	if callName == callWait {
		request.WaitMS = longPollLimit(ctx).Milliseconds()
	}
	body, err := json.Marshal(request)
	if err != nil {
		return outcome{}, "", err
	}
	url := "http://" + member.Address + pathPrefix + group + "/" + callName
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcome{}, "", err
	}
	post.Header.Set("Content-Type", "application/json")
	telemetry.Inject(ctx, post.Header)
	resp, err := c.http.Do(post)
	if err != nil {
		return outcome{}, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	return readOutcome(member.Name, resp)
}

func readOutcome(member string, resp *http.Response) (outcome, string, error) {
	encoded, err := io.ReadAll(io.LimitReader(resp.Body, maxCallBodyBytes))
	if err != nil {
		return outcome{}, "", err
	}
	var response wireResponse
	known := resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusMisdirectedRequest
	if known {
		if err := json.Unmarshal(encoded, &response); err != nil {
			return outcome{}, "", err
		}
	}
	if resp.StatusCode != http.StatusOK {
		return outcome{}, response.Leader, fmt.Errorf("claims: entry %s returned HTTP status %d", member, resp.StatusCode)
	}
	return response.outcome(), "", nil
}
