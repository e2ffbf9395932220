package claims

// newRecord returns a record for the attempt of the command. It is not stored
// yet.
func (t *Table) newRecord(c command) *record {
	return &record{
		ID:        c.id(),
		Digest:    c.Digest,
		Attempt:   c.Attempt,
		Holder:    c.Holder,
		ClaimedMS: t.wallMS,
	}
}

// put stores a record and wakes those that wait for its claim.
func (t *Table) put(r *record) {
	t.store.put(r)
	t.notify(r.ID)
}

// advance moves the group time forward and drops some records of keys that are
// now refused as expired.
func (t *Table) advance(wallMS int64) {
	t.wallMS = max(t.wallMS, wallMS)
	keepMS := t.wallMS - (t.limits.Retention + t.limits.ClockError).Milliseconds()
	for _, key := range t.store.expire(keepMS) {
		t.notify(key)
	}
}

// kept returns what is stored of an answer.
func (t *Table) kept(a *storedAnswer) *storedAnswer {
	if a.Omitted || a.size() > int64(t.limits.MaxAnswerSize)+maxStoredHeader {
		return &storedAnswer{Status: a.Status, Omitted: true}
	}
	return a
}

// maxStoredHeader bounds the header of a stored answer, in bytes. It equals the
// limit for headers of requests and responses.
const maxStoredHeader = 32 << 10

// lookup returns the state of a claim for a waiting attempt at the given time
// of the leader.
func (t *Table) lookup(c command) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := max(t.wallMS, c.At.WallMS)
	if refused := t.limits.keyState(Key{ID: c.Key}.CreatedMS(), now); refused != "" {
		return outcome{State: refused}
	}
	r := t.store.get(c.id())
	if r == nil && t.fenced(c.Key) {
		return outcome{State: Undecided}
	}
	if r == nil || r.Status == released {
		return outcome{State: Released}
	}
	if r.Digest != c.Digest {
		return outcome{State: Conflict}
	}
	if r.Status == running && now-r.ClaimedMS > t.runLimitMS() {
		return outcome{State: Undecided}
	}
	return t.view(r)
}

// watch returns a channel that is closed at the next change of the claim, and
// a function that ends the watch.
func (t *Table) watch(key id) (changed <-chan struct{}, stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ch := make(chan struct{})
	t.watchers[key] = append(t.watchers[key], ch)
	return ch, func() { t.unwatch(key, ch) }
}

func (t *Table) unwatch(key id, ch chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.watchers[key][:0]
	for _, other := range t.watchers[key] {
		if other != ch {
			kept = append(kept, other)
		}
	}
	t.watchers[key] = kept
	if len(kept) == 0 {
		delete(t.watchers, key)
	}
}

func (t *Table) notify(key id) {
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

// Size returns the number of claims and the bytes of stored answers.
func (t *Table) Size() (records int, answerBytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.store.slots), t.store.bytes
}
