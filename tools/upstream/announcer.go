package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/announce"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

const (
	announcePeriod  = 2 * time.Second
	announceTimeout = 2 * time.Second // of the HTTP request to one entry
	retryInterval   = 200 * time.Millisecond
)

// announcer announces this target to the entries.
type announcer struct {
	client  *http.Client
	token   string
	entries []string // configured addresses

	mu     sync.Mutex
	record upstream.Announcement
	owners []string // addresses in the last reply; tried first
}

func newAnnouncer(entries []string, token string, record upstream.Announcement) *announcer {
	return &announcer{
		client:  &http.Client{Timeout: announceTimeout},
		token:   token,
		entries: entries,
		record:  record,
	}
}

// run announces the target every announcePeriod until ctx ends, and retries a
// failed announcement after retryInterval.
func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := announcePeriod
		if !a.announce(ctx) {
			interval = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// setState changes the announced state and announces it once.
func (a *announcer) setState(ctx context.Context, s upstream.State) {
	a.mu.Lock()
	a.record.State = s
	a.mu.Unlock()
	a.announce(ctx)
}

// announce sends the record to the first entry that accepts it: the owners of the
// last reply, then the configured entries. It returns false if none does.
func (a *announcer) announce(ctx context.Context) bool {
	a.mu.Lock()
	a.record.Sequence++
	record := a.record
	candidates := append(append([]string{}, a.owners...), a.entries...)
	a.mu.Unlock()
	body, err := json.Marshal(record)
	if err != nil {
		panic("upstream: announcement cannot be encoded: " + err.Error())
	}
	for _, entry := range candidates {
		reply, err := a.post(ctx, entry, body)
		if err != nil {
			continue
		}
		a.mu.Lock()
		a.owners = reply.Owners
		a.mu.Unlock()
		return true
	}
	return false
}

func (a *announcer) post(ctx context.Context, entry string, body []byte) (announce.Reply, error) {
	var reply announce.Reply
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+announce.Path, bytes.NewReader(body))
	if err != nil {
		return reply, trace.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+a.token)
	r.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(r)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return reply, trace.BadParameter("status %d: %s", response.StatusCode, raw)
	}
	return reply, trace.Wrap(json.Unmarshal(raw, &reply))
}
