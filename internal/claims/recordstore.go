package claims

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const minuteMS = int64(time.Minute / time.Millisecond)

// maxDropsPerCommand bounds the expired records that one command drops. Dropping
// a whole minute at once would block the group: at 5,000 claims/s a minute has
// 300,000 records.
const maxDropsPerCommand = 32

// recordStore holds records in encoded form. Encoded records take half the memory
// of decoded ones, and a snapshot copies bytes instead of encoding all records
// while the group waits.
type recordStore struct {
	limits       Limits
	byID         map[claimID]*storedRecord
	byMinute     map[int64][]*storedRecord // by the minute in which the key was created, in order of insertion
	oldestMinute int64                     // oldest minute in byMinute; 0 if it is empty
	withAnswer   []*storedRecord           // records with a stored answer, in order of completion
	answerBytes  int64                     // total of the stored answers
	encodedBytes int                       // total of the encoded records
	planNames    map[string]string         // one copy of each plan name, shared by the records
}

// storedRecord is a record in encoded form.
type storedRecord struct {
	id          claimID
	encoded     []byte // record in CBOR
	answerBytes int32  // 0 if no answer is stored
}

func newRecordStore(limits Limits) recordStore {
	return recordStore{
		limits:    limits,
		byID:      map[claimID]*storedRecord{},
		byMinute:  map[int64][]*storedRecord{},
		planNames: map[string]string{},
	}
}

// get returns a copy of the record, or nil if there is none.
func (s *recordStore) get(key claimID) *record {
	stored := s.byID[key]
	if stored == nil {
		return nil
	}
	return stored.decode()
}

func (s *storedRecord) decode() *record {
	r := &record{}
	if err := cbor.Unmarshal(s.encoded, r); err != nil {
		panic("claims: cannot decode stored record: " + err.Error())
	}
	return r
}

// put stores the record. It drops the oldest answers if the total exceeds the
// limit.
func (s *recordStore) put(r *record) {
	stored := s.byID[r.ID]
	if stored == nil {
		stored = s.add(r.ID)
	}
	hadAnswer := stored.answerBytes > 0
	s.update(stored, r)
	if stored.answerBytes > 0 && !hadAnswer {
		s.withAnswer = append(s.withAnswer, stored)
	}
	s.dropOldestAnswers()
}

func (s *recordStore) add(key claimID) *storedRecord {
	plan, known := s.planNames[key.Plan]
	if !known {
		plan = strings.Clone(key.Plan)
		s.planNames[plan] = plan
	}
	key.Plan = plan
	stored := &storedRecord{id: key}
	s.byID[key] = stored
	minute := Key{ID: key.Key}.CreatedMS() / minuteMS
	s.byMinute[minute] = append(s.byMinute[minute], stored)
	if s.oldestMinute == 0 || minute < s.oldestMinute {
		s.oldestMinute = minute
	}
	return stored
}

func (s *recordStore) update(stored *storedRecord, r *record) {
	s.answerBytes -= int64(stored.answerBytes)
	s.encodedBytes -= len(stored.encoded)
	stored.encoded = encode(r)
	s.encodedBytes += len(stored.encoded)
	stored.answerBytes = int32(r.Answer.size())
	s.answerBytes += int64(stored.answerBytes)
}

// dropOldestAnswers drops stored answers, oldest first, until their total is
// within the limit. Their records keep the status.
func (s *recordStore) dropOldestAnswers() {
	for len(s.withAnswer) > 0 {
		stored := s.withAnswer[0]
		if stored.answerBytes > 0 && s.answerBytes <= s.limits.MaxTotalAnswerBytes {
			return
		}
		if stored.answerBytes > 0 {
			r := stored.decode()
			r.Answer = &storedAnswer{Status: r.Answer.Status, Omitted: true}
			s.update(stored, r)
		}
		s.withAnswer[0] = nil
		s.withAnswer = s.withAnswer[1:]
	}
}

// dropExpired drops records whose keys were created in minutes that ended before
// the given time, at most maxDropsPerCommand, and returns their IDs.
func (s *recordStore) dropExpired(beforeMS int64) (dropped []claimID) {
	for s.oldestMinute != 0 && (s.oldestMinute+1)*minuteMS <= beforeMS && len(dropped) < maxDropsPerCommand {
		queue := s.byMinute[s.oldestMinute]
		stored := queue[0]
		queue[0] = nil
		s.byMinute[s.oldestMinute] = queue[1:]
		delete(s.byID, stored.id)
		s.encodedBytes -= len(stored.encoded)
		s.answerBytes -= int64(stored.answerBytes)
		stored.answerBytes = 0
		dropped = append(dropped, stored.id)
		if len(queue) == 1 {
			delete(s.byMinute, s.oldestMinute)
			s.oldestMinute = s.firstMinute()
		}
	}
	if len(dropped) > 0 {
		s.dropOldestAnswers()
	}
	return dropped
}

func (s *recordStore) firstMinute() int64 {
	var next int64
	for minute := range s.byMinute {
		if next == 0 || minute < next {
			next = minute
		}
	}
	return next
}

// forEachInOrder calls f for each record, in an order that is the same on all
// members.
func (s *recordStore) forEachInOrder(f func(*storedRecord)) {
	minutes := make([]int64, 0, len(s.byMinute))
	for minute := range s.byMinute {
		minutes = append(minutes, minute)
	}
	slices.Sort(minutes)
	for _, minute := range minutes {
		for _, stored := range s.byMinute[minute] {
			f(stored)
		}
	}
}
