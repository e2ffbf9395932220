package claims

import (
	"strings"
	"time"
)

const minuteMS = int64(time.Minute / time.Millisecond)

// insert adds an empty record for the key of the command.
func (t *Table) insert(c command) *record {
	r := &record{ClaimedMS: t.wallMS}
	key := id{Plan: t.intern(c.Plan), Key: c.Key}
	t.records[key] = r
	t.enlist(key)
	return r
}

func (t *Table) enlist(key id) {
	minute := Key{ID: key.Key}.CreatedMS() / minuteMS
	t.expiry[minute] = append(t.expiry[minute], key)
	if t.oldest == 0 || minute < t.oldest {
		t.oldest = minute
	}
}

// intern returns one shared copy of a name, so that the plans and holders of
// many records take memory once.
func (t *Table) intern(name string) string {
	if known, ok := t.names[name]; ok {
		return known
	}
	name = strings.Clone(name)
	t.names[name] = name
	return name
}

// advance moves the group time forward and drops the records of keys that are
// now refused as expired.
func (t *Table) advance(wallMS int64) {
	if wallMS <= t.wallMS {
		return
	}
	t.wallMS = wallMS
	keepMS := wallMS - (t.limits.Retention + t.limits.ClockError).Milliseconds()
	for len(t.expiry) > 0 && (t.oldest+1)*minuteMS <= keepMS {
		t.dropMinute(t.oldest)
		t.oldest = t.nextMinute()
	}
}

func (t *Table) nextMinute() int64 {
	var next int64
	for minute := range t.expiry {
		if next == 0 || minute < next {
			next = minute
		}
	}
	return next
}

func (t *Table) dropMinute(minute int64) {
	for _, key := range t.expiry[minute] {
		if r := t.records[key]; r != nil {
			t.bytes -= r.Answer.size()
		}
		delete(t.records, key)
		t.notify(key)
	}
	delete(t.expiry, minute)
	t.trimAnswers()
}

// keepAnswer stores the answer and drops the oldest stored ones beyond the
// limit of the group. A dropped answer leaves its status.
func (t *Table) keepAnswer(key id, r *record, a *storedAnswer) {
	if a.Omitted || a.size() > int64(t.limits.MaxAnswerSize)+maxStoredHeader {
		r.Answer = &storedAnswer{Status: a.Status, Omitted: true}
		return
	}
	r.Answer = a
	t.bytes += a.size()
	t.answers = append(t.answers, key)
	t.trimAnswers()
}

// maxStoredHeader bounds the header of a stored answer, in bytes. It equals the
// limit for headers of requests and responses.
const maxStoredHeader = 32 << 10

func (t *Table) trimAnswers() {
	for len(t.answers) > 0 {
		r := t.records[t.answers[0]]
		gone := r == nil || r.Answer == nil || r.Answer.Omitted
		if !gone && t.bytes <= t.limits.AnswerBytes {
			return
		}
		if !gone {
			t.bytes -= r.Answer.size()
			r.Answer = &storedAnswer{Status: r.Answer.Status, Omitted: true}
		}
		t.answers = t.answers[1:]
	}
}

// lookup returns the state of a claim for a waiting attempt at the given time
// of the leader.
func (t *Table) lookup(c command) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := max(t.wallMS, c.At.WallMS)
	if refused := t.limits.keyState(Key{ID: c.Key}.CreatedMS(), now); refused != "" {
		return outcome{State: refused}
	}
	r := t.records[c.id()]
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
	return len(t.records), t.bytes
}
