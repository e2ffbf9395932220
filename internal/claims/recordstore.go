package claims

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const minuteMS = int64(time.Minute / time.Millisecond)

// dropsPerCommand bounds the expired records that one command drops. Dropping
// a whole minute at once would hold up the group: at 5,000 claims/s a minute
// has 300,000 records.
const dropsPerCommand = 32

// recordStore holds records in encoded form. That takes half the memory of
// decoded ones, and a snapshot copies bytes instead of encoding all records
// while the group waits.
type recordStore struct {
	limits  Limits
	slots   map[id]*slot
	minutes map[int64][]*slot // slots by minute of creation of the key, oldest insertion first
	oldest  int64             // no entry of minutes is older; 0: no entry
	answers []*slot           // slots with a stored answer, in the order of completion
	bytes   int64             // bytes of stored answers
	encoded int               // bytes of all saved records
	plans   map[string]string
}

// slot is one stored record.
type slot struct {
	id     id
	saved  []byte // record in CBOR
	answer int32  // bytes of the stored answer
}

func newRecordStore(limits Limits) recordStore {
	return recordStore{
		limits:  limits,
		slots:   map[id]*slot{},
		minutes: map[int64][]*slot{},
		plans:   map[string]string{},
	}
}

// get returns a copy of the record, or nil.
func (s *recordStore) get(key id) *record {
	held := s.slots[key]
	if held == nil {
		return nil
	}
	return held.record()
}

func (h *slot) record() *record {
	r := &record{}
	if err := cbor.Unmarshal(h.saved, r); err != nil {
		panic("claims: stored record cannot be decoded: " + err.Error())
	}
	return r
}

// put stores the record, and drops the oldest answers beyond the limit.
func (s *recordStore) put(r *record) {
	held := s.slots[r.ID]
	if held == nil {
		held = s.add(r.ID)
	}
	hadAnswer := held.answer > 0
	s.save(held, r)
	if held.answer > 0 && !hadAnswer {
		s.answers = append(s.answers, held)
	}
	s.trimAnswers()
}

func (s *recordStore) add(key id) *slot {
	plan, known := s.plans[key.Plan]
	if !known {
		plan = strings.Clone(key.Plan)
		s.plans[plan] = plan
	}
	key.Plan = plan
	held := &slot{id: key}
	s.slots[key] = held
	minute := Key{ID: key.Key}.CreatedMS() / minuteMS
	s.minutes[minute] = append(s.minutes[minute], held)
	if s.oldest == 0 || minute < s.oldest {
		s.oldest = minute
	}
	return held
}

func (s *recordStore) save(held *slot, r *record) {
	s.bytes -= int64(held.answer)
	s.encoded -= len(held.saved)
	held.saved = encode(r)
	s.encoded += len(held.saved)
	held.answer = int32(r.Answer.size())
	s.bytes += int64(held.answer)
}

func (s *recordStore) trimAnswers() {
	for len(s.answers) > 0 {
		held := s.answers[0]
		if held.answer > 0 && s.bytes <= s.limits.AnswerBytes {
			return
		}
		if held.answer > 0 {
			r := held.record()
			r.Answer = &storedAnswer{Status: r.Answer.Status, Omitted: true}
			s.save(held, r)
		}
		s.answers[0] = nil
		s.answers = s.answers[1:]
	}
}

// expire drops some of the records whose keys were created in minutes that
// ended before the given time, and returns their keys.
func (s *recordStore) expire(beforeMS int64) (dropped []id) {
	for s.oldest != 0 && (s.oldest+1)*minuteMS <= beforeMS && len(dropped) < dropsPerCommand {
		queue := s.minutes[s.oldest]
		held := queue[0]
		queue[0] = nil
		s.minutes[s.oldest] = queue[1:]
		delete(s.slots, held.id)
		s.encoded -= len(held.saved)
		s.bytes -= int64(held.answer)
		held.answer = 0
		dropped = append(dropped, held.id)
		if len(queue) == 1 {
			delete(s.minutes, s.oldest)
			s.oldest = s.nextMinute()
		}
	}
	if len(dropped) > 0 {
		s.trimAnswers()
	}
	return dropped
}

func (s *recordStore) nextMinute() int64 {
	var next int64
	for minute := range s.minutes {
		if next == 0 || minute < next {
			next = minute
		}
	}
	return next
}

// inOrder calls f for each slot, in an order that is equal on all members.
func (s *recordStore) inOrder(f func(*slot)) {
	minutes := make([]int64, 0, len(s.minutes))
	for minute := range s.minutes {
		minutes = append(minutes, minute)
	}
	slices.Sort(minutes)
	for _, minute := range minutes {
		for _, held := range s.minutes[minute] {
			f(held)
		}
	}
}
