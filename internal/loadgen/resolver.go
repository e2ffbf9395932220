package loadgen

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/address"
)

const resolveTimeout = 2 * time.Second

// resolver looks up the addresses of a service and caches them for their time to
// live.
type resolver struct {
	client  *http.Client
	entries []string
	service string
	region  string

	mu      sync.Mutex
	answer  address.Response
	expires time.Time
}

// addresses returns the addresses in the order in which to try them: first the one
// that addressDraw selects by weight, then the others.
func (r *resolver) addresses(ctx context.Context, addressDraw float64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.expires) {
		r.refresh(ctx)
	}
	return orderByWeight(r.answer.Addresses, addressDraw)
}

// refresh queries the known addresses, then the configured entries in random
// order. If none responds, the old addresses stay in use.
func (r *resolver) refresh(ctx context.Context) {
	var candidates []string
	for _, a := range r.answer.Addresses {
		candidates = append(candidates, a.Address)
	}
	entries := append([]string{}, r.entries...)
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for _, entry := range append(candidates, entries...) {
		answer, err := r.query(ctx, entry)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		r.answer = answer
		r.expires = time.Now().Add(time.Duration(answer.TimeToLiveMS) * time.Millisecond)
		return
	}
}

func (r *resolver) query(ctx context.Context, entry string) (address.Response, error) {
	var answer address.Response
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := url.Values{"service": {r.service}, "region": {r.region}}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+address.Path+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return answer, trace.Wrap(err)
	}
	response, err := r.client.Do(q)
	if err != nil {
		return answer, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, trace.BadParameter("address lookup answered status %d", response.StatusCode)
	}
	return answer, trace.Wrap(json.NewDecoder(response.Body).Decode(&answer))
}

// orderByWeight returns the addresses, rotated so that the one that addressDraw,
// from 0 to 1, selects by weight is first.
func orderByWeight(list []address.Endpoint, addressDraw float64) []string {
	total := 0
	for _, a := range list {
		total += a.Weight
	}
	first := 0
	at := addressDraw * float64(total)
	for i, a := range list {
		if at < float64(a.Weight) {
			first = i
			break
		}
		at -= float64(a.Weight)
	}
	var result []string
	for i := range list {
		result = append(result, list[(first+i)%len(list)].Address)
	}
	return result
}
