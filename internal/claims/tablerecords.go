package claims

// newRecord returns a record for the attempt of the command, without storing it.
func (t *Table) newRecord(c command) *record {
	return &record{
		ID:        c.claimID(),
		Digest:    c.Digest,
		Attempt:   c.Attempt,
		Holder:    c.Holder,
		ClaimedMS: t.wallMS,
	}
}

// put stores a record and notifies the watchers of its claim.
func (t *Table) put(r *record) {
	t.store.put(r)
	t.notify(r.ID)
}

// advance advances the time of the group and drops expired records, at most
// maxDropsPerCommand of them.
func (t *Table) advance(wallMS int64) {
	t.wallMS = max(t.wallMS, wallMS)
	keepMS := t.wallMS - (t.limits.Retention + t.limits.ClockError).Milliseconds()
	for _, key := range t.store.dropExpired(keepMS) {
		t.notify(key)
	}
}

// answerToStore returns the answer, or only its status if it is too large to be
// stored.
func (t *Table) answerToStore(a *storedAnswer) *storedAnswer {
	if a.Omitted || a.size() > int64(t.limits.MaxAnswerBytes)+maxStoredHeaderBytes {
		return &storedAnswer{Status: a.Status, Omitted: true}
	}
	return a
}

// maxStoredHeaderBytes is the allowance for the header of a stored answer. It
// equals the limit for headers of requests and responses.
const maxStoredHeaderBytes = 32 << 10

// lookup returns the outcome for an attempt that waits for a claim, at the
// leader's time in c.At. It doesn't change the table.
func (t *Table) lookup(c command) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := max(t.wallMS, c.At.WallMS)
	if state := t.limits.keyState(Key{ID: c.Key}.CreatedMS(), now); state != "" {
		return outcome{State: state}
	}
	r := t.store.get(c.claimID())
	if r == nil && t.fenced(c.Key) {
		return outcome{State: Unknown}
	}
	if r == nil || r.Status == statusReleased {
		return outcome{State: Released}
	}
	if r.Digest != c.Digest {
		return outcome{State: Conflict}
	}
	if r.Status == statusRunning && now-r.ClaimedMS > t.runTimeoutMS() {
		return outcome{State: Unknown}
	}
	return t.outcomeOf(r)
}

// watch returns a channel that is closed at the next change of the claim, and a
// function that cancels the watch.
func (t *Table) watch(key claimID) (changed <-chan struct{}, stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ch := make(chan struct{})
	t.watchers[key] = append(t.watchers[key], ch)
	return ch, func() { t.unwatch(key, ch) }
}

func (t *Table) unwatch(key claimID, ch chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := t.watchers[key][:0]
	for _, other := range t.watchers[key] {
		if other != ch {
			remaining = append(remaining, other)
		}
	}
	t.watchers[key] = remaining
	if len(remaining) == 0 {
		delete(t.watchers, key)
	}
}

func (t *Table) notify(key claimID) {
	for _, ch := range t.watchers[key] {
		close(ch)
	}
	delete(t.watchers, key)
}

func (t *Table) notifyAll() {
	for key := range t.watchers {
		t.notify(key)
	}
}

// Size returns the number of records and the total bytes of stored answers.
func (t *Table) Size() (records int, answerBytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.store.byID), t.store.answerBytes
}
