package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// status is the state of a stored claim.
type status uint8

const (
	running status = iota + 1
	completed
	released
	unknown
)

// maxGivenUp bounds the attempts remembered as given up for one key. An older
// attempt whose delayed Claim arrives after that many others blocks the key
// but is never sent, since only its own caller could send it.
const maxGivenUp = 16

// record is a stored claim.
type record struct {
	ID        id            `cbor:"0,keyasint"`
	Status    status        `cbor:"1,keyasint"`
	Digest    [32]byte      `cbor:"2,keyasint"`
	Attempt   string        `cbor:"3,keyasint"`
	Holder    string        `cbor:"4,keyasint"`
	ClaimedMS int64         `cbor:"5,keyasint"`
	ByHolder  bool          `cbor:"6,keyasint,omitempty"` // the holder itself marked the claim unknown
	Answer    *storedAnswer `cbor:"7,keyasint,omitempty"`
	GivenUp   []string      `cbor:"8,keyasint,omitempty"` // attempts that never get the claim
	Completed uint64        `cbor:"9,keyasint,omitempty"` // number in the order of completions
}

// Table is the state machine of a claim group. Apply is deterministic: all
// times come from the commands.
type Table struct {
	limits Limits

	mu        sync.Mutex
	wallMS    int64 // latest wall time of a command; never goes back
	fenceMS   int64 // keys created before are unknown unless a record says otherwise
	completed uint64
	store     recordStore
	leases    leaseTable
	watchers  map[id][]chan struct{}
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	limits.Check()
	t := &Table{limits: limits, watchers: map[id][]chan struct{}{}}
	t.reset()
	return t
}

func (t *Table) reset() {
	t.wallMS = 0
	t.fenceMS = 0
	t.completed = 0
	t.store = newRecordStore(t.limits)
	t.leases = leaseTable{Leases: map[string]lease{}}
}

// Apply runs one command of the log.
func (t *Table) Apply(_ uint64, encoded []byte) []byte {
	var c command
	if err := cbor.Unmarshal(encoded, &c); err != nil {
		// All members read the same bytes, so all of them refuse the command.
		return encode(outcome{State: Undecided})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(c.At.WallMS)
	return encode(t.apply(c))
}

func (t *Table) apply(c command) outcome {
	switch c.Op {
	case opClaim:
		return t.claim(c)
	case opComplete:
		return t.complete(c)
	case opRelease:
		return t.release(c)
	case opUnknown:
		return t.markUnknown(c)
	case opLease:
		return outcome{OK: t.leases.acquire(c, t.limits)}
	default:
		return outcome{State: Undecided}
	}
}

func (t *Table) claim(c command) outcome {
	if refused := t.limits.keyState(Key{ID: c.Key}.CreatedMS(), t.wallMS); refused != "" {
		return outcome{State: refused}
	}
	r := t.store.get(c.id())
	if r != nil && slices.Contains(r.GivenUp, c.Attempt) {
		return outcome{State: Released}
	}
	if r == nil || r.Status == released {
		if t.fenced(c.Key) {
			return outcome{State: Undecided}
		}
		t.grant(c, r)
		return outcome{State: Granted, OK: true}
	}
	if r.Attempt != c.Attempt && r.Digest != c.Digest {
		return outcome{State: Conflict}
	}
	if r.Status == running && r.Attempt == c.Attempt {
		return outcome{State: Granted, OK: true}
	}
	return t.view(r)
}

func (t *Table) grant(c command, r *record) {
	if r == nil {
		r = t.newRecord(c)
	}
	r.Status = running
	r.Digest = c.Digest
	r.Attempt = c.Attempt
	r.Holder = c.Holder
	r.ClaimedMS = t.wallMS
	r.ByHolder = false
	t.put(r)
}

// complete is also accepted without a record if the fence covers the key: the
// claim was granted before the group lost its state, and the answer is better
// than none.
func (t *Table) complete(c command) outcome {
	if c.Answer == nil || t.expired(c.Key) {
		return outcome{State: Expired}
	}
	r := t.store.get(c.id())
	if r == nil {
		if !t.fenced(c.Key) {
			return outcome{State: Released}
		}
		r = t.newRecord(c)
		r.Status = unknown
	}
	if r.Attempt != c.Attempt {
		return t.view(r)
	}
	if r.Status == running || r.Status == unknown {
		r.Status = completed
		r.GivenUp = nil
		t.completed++
		r.Completed = t.completed
		r.Answer = t.kept(c.Answer)
		t.put(r)
	}
	return outcome{State: t.view(r).State, OK: r.Status == completed}
}

// release frees the claim of an attempt that sent no byte, and keeps the
// attempt from getting the claim later. A claim that another entry marked
// unknown, because it took the holder for dead, may still be released.
func (t *Table) release(c command) outcome {
	if t.expired(c.Key) {
		return outcome{State: Expired, OK: true}
	}
	r := t.store.get(c.id())
	if r == nil {
		if t.fenced(c.Key) {
			return outcome{State: Undecided, OK: true}
		}
		r = t.newRecord(c)
		r.Status = released
	}
	held := r.Attempt == c.Attempt
	if held && (r.Status == completed || r.Status == unknown && r.ByHolder) {
		return t.view(r)
	}
	if held && r.Status != released {
		r.Status = released
		r.Attempt = ""
	}
	if r.Status != completed && !slices.Contains(r.GivenUp, c.Attempt) {
		r.GivenUp = append(r.GivenUp, c.Attempt)
		r.GivenUp = r.GivenUp[max(0, len(r.GivenUp)-maxGivenUp):]
	}
	t.put(r)
	return outcome{State: t.view(r).State, OK: true}
}

func (t *Table) markUnknown(c command) outcome {
	if t.expired(c.Key) {
		return outcome{State: Expired, OK: true}
	}
	r := t.store.get(c.id())
	if r == nil {
		return t.markMissing(c)
	}
	byHolder := c.Attempt != "" && r.Attempt == c.Attempt
	byWitness := c.Attempt == "" && r.Holder == c.Holder
	if r.Status == running && (byHolder || byWitness) {
		r.Status = unknown
	}
	if r.Status == unknown && byHolder {
		r.ByHolder = true
	}
	t.put(r)
	return outcome{State: t.view(r).State, OK: true}
}

// markMissing stores an attempt that sent bytes without a record, so that the
// key is not granted again.
func (t *Table) markMissing(c command) outcome {
	if c.Attempt != "" && !t.fenced(c.Key) {
		r := t.newRecord(c)
		r.Status = unknown
		r.ByHolder = true
		t.put(r)
	}
	return outcome{State: Undecided, OK: true}
}

// SetFence implements consensus.FenceSetter. It is called with the same time
// on all members whenever the group has formed anew without its state, and
// after each Restore, whose snapshot already has the fence.
//
// A claim was granted for a key at most ClockError ahead of its leader's
// clock, and that clock was at most ClockError ahead of the clock of the
// fence. So no key above fence + 2 ClockError was claimed before the fence.
func (t *Table) SetFence(fence time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fenceMS := fence.Add(2 * t.limits.ClockError).UnixMilli()
	if fenceMS <= t.fenceMS {
		return
	}
	t.fenceMS = fenceMS
	t.leases.block()
	t.notifyAll()
}

func (t *Table) fenced(key uuid.UUID) bool { return Key{ID: key}.CreatedMS() < t.fenceMS }

// expired reports whether all further claims of the key are refused for its
// age, so that nothing need be stored for it.
func (t *Table) expired(key uuid.UUID) bool {
	return t.limits.keyState(Key{ID: key}.CreatedMS(), t.wallMS) != ""
}

// view is what another attempt sees of a record.
func (t *Table) view(r *record) outcome {
	switch r.Status {
	case running:
		if t.wallMS-r.ClaimedMS > t.runLimitMS() {
			return outcome{State: Undecided}
		}
		return outcome{State: Running, Holder: r.Holder}
	case completed:
		return outcome{State: Completed, Holder: r.Holder, Answer: r.Answer}
	case released:
		return outcome{State: Released}
	default:
		return outcome{State: Undecided, Holder: r.Holder}
	}
}

// runLimitMS is the age at which a running claim counts as unknown. The holder
// ends its call at CallLimit; the clock error keeps a holder whose leader has
// a fast clock from being counted out early.
func (t *Table) runLimitMS() int64 {
	return (t.limits.CallLimit + t.limits.ClockError).Milliseconds()
}
