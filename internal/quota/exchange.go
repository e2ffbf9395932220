package quota

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/traffic"
)

// runShard sends the messages of this entry as an owner.
func (l *Limiter) runShard(ctx context.Context, n int, s *ownedShard) {
	for ctx.Err() == nil {
		l.mu.Lock()
		due, any := s.credit.Due()
		wait := due - l.options.Now()
		l.mu.Unlock()
		if !any {
			wait = time.Hour
		}
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-s.wake:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		l.exchange(ctx, n, s)
	}
}

// exchange sends a message to the holder of the own region, or to that of another
// region if that one does not grant.
func (l *Limiter) exchange(ctx context.Context, n int, s *ownedShard) {
	l.mu.Lock()
	usable := l.usableRegions(l.options.Now())
	if len(usable) == 0 {
		s.credit.Needs(l.options.Now(), l.index) // so that the next message is due later
	}
	l.mu.Unlock()
	for _, region := range usable {
		err := l.exchangeWith(ctx, region, n, s)
		if err == nil {
			return
		}
		l.markUnusable(region, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.credit.Failed(l.options.Now())
}

// exchangeWith sends a message to the holder of a region. If the response is late, an
// error is returned, and its credit is added when it arrives.
func (l *Limiter) exchangeWith(ctx context.Context, region string, n int, s *ownedShard) error {
	l.mu.Lock()
	// No response may be applied between the calculation of the needs and the numbering:
	// its credit would be confirmed as received, but not be named.
	now := l.options.Now()
	needs := s.credit.Needs(now, l.index)
	if len(needs) == 0 {
		s.credit.Apply(now, now, nil, nil)
		l.mu.Unlock()
		return nil
	}
	r := ExchangeRequest{Shard: n, Shards: l.index.shards, Sender: l.options.Self.Name, Incarnation: l.options.Self.Incarnation, Needs: encodeNeeds(needs)}
	m, patience := l.number(region, &r), l.patienceWith(region)
	l.mu.Unlock()
	responses := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, lateTimeout)
		defer cancel()
		var err error
		m.grants, m.holder, err = l.send(ctx, region, r, needs)
		responses <- err
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case err := <-responses:
		return l.apply(s, m, needs, err, false)
	case <-timer.C:
	}
	go func() { _ = l.apply(s, m, needs, <-responses, true) }()
	return errLate
}

// sentMessage is a message to the holder of a region, and its response.
type sentMessage struct {
	key      messageKey
	sequence uint64
	at       time.Duration

	grants []Grant
	holder string
}

// number gives a message its numbers. The caller holds mu.
func (l *Limiter) number(region string, r *ExchangeRequest) *sentMessage {
	key := messageKey{r.Shard, region, r.Kind}
	l.lastSequence++
	r.Sequence, r.Received = l.lastSequence, l.received[key]
	l.sent[key] = r.Sequence
	return &sentMessage{key: key, sequence: r.Sequence, at: l.options.Now()}
}

// patienceWith returns how long to wait for the holder of a region before another one is
// asked. The caller holds mu.
func (l *Limiter) patienceWith(region string) time.Duration {
	least := exchangeTimeout
	if region != l.options.Self.Region {
		least = remoteTimeout
	}
	return min(max(least, l.patience[region]), maxPatience)
}

// apply adds the credit of the response to a message. A later message to the region has
// not named that credit, so that its holder counts it as used or gives it to others. The
// same holds for a response that was late because this process was paused.
func (l *Limiter) apply(s *ownedShard, m *sentMessage, needs []Need, err error, late bool) error {
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if now-m.at > lateTimeout || l.sent[m.key] != m.sequence {
		return errLate
	}
	l.received[m.key] = m.sequence
	l.patience[m.key.region] = (now - m.at) * 3 / 2
	l.noteCredit(m.key.region, m.holder, m.grants)
	if late {
		l.unusable[m.key.region] = 0
		s.credit.ApplyLate(now, m.at, m.grants)
	} else {
		s.credit.Apply(now, m.at, needs, m.grants)
	}
	return nil
}

// noteCredit notes the first credit that this process gets of a region. The caller holds
// mu.
func (l *Limiter) noteCredit(region, holder string, grants []Grant) {
	if len(grants) == 0 {
		return
	}
	first, any := l.credited[region]
	switch {
	case !any:
		l.credited[region] = firstCredit{at: l.options.Now(), holder: holder}
	case first.holder != holder:
		l.credited[region] = firstCredit{at: first.at}
	}
}

// usableRegions returns the regions whose holder may be asked, the own one first. The
// caller holds mu.
func (l *Limiter) usableRegions(now time.Duration) []string {
	var usable []string
	for _, r := range l.regions {
		if now >= l.unusable[r] {
			usable = append(usable, r)
		}
	}
	return usable
}

func (l *Limiter) markUnusable(region string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures.Inc()
	duration := unusableTime
	if errors.Is(err, errNotHolding) {
		duration = notHoldingTime
	}
	l.unusable[region] = l.options.Now() + duration
	l.options.Log.Debug("quota holder of a region did not grant", zap.String("region", region), zap.Error(err))
}

var (
	errNoHolder   = errors.New("quota: the region has no holder")
	errCredited   = errors.New("quota: the entry may have credit of a former holder")
	errLate       = errors.New("quota: the holder's response was late")
	errNotHolding = errors.New("quota: the entry does not hold the shard")
)

// send sends a numbered message to the holder of a region, and returns what it grants
// and its name.
func (l *Limiter) send(ctx context.Context, region string, r ExchangeRequest, needs []Need) ([]Grant, string, error) {
	holders := ranked(l.options.View(), l.options.LowBandwidth, r.Shard, r.Shards, region)
	if len(holders) == 0 {
		return nil, "", errNoHolder
	}
	if holders[0].Name == l.options.Self.Name {
		grants, holding := l.exchangeHere(r, needs)
		if !holding {
			return nil, "", errNotHolding
		}
		return grants, holders[0].Name, nil
	}
	l.exchanges.Inc()
	var response ExchangeResponse
	if err := l.options.Peers.Post(ctx, traffic.Quota, holders[0].PeerAddress, ExchangePath, r, &response); err != nil {
		return nil, "", err
	}
	if !response.Holding {
		return nil, "", errNotHolding
	}
	grants, err := decodeGrants(response.Grants)
	return grants, holders[0].Name, err
}
