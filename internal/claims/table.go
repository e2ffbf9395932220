package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// recordStatus is the state of a stored claim.
type recordStatus uint8

const (
	statusRunning recordStatus = iota + 1
	statusCompleted
	statusReleased
	statusUnknown
)

// maxReleasedAttempts bounds the released attempts that are stored for one key.
// If the delayed Claim of an attempt arrives after that many others released
// the key, it is granted and blocks the key. The request is still not sent,
// since only the caller that released the attempt could send it.
const maxReleasedAttempts = 16

// record is the state of a claim.
type record struct {
	ID               claimID       `cbor:"0,keyasint"`
	Status           recordStatus  `cbor:"1,keyasint"`
	Digest           [32]byte      `cbor:"2,keyasint"`
	Attempt          string        `cbor:"3,keyasint"`
	Holder           string        `cbor:"4,keyasint"`
	ClaimedMS        int64         `cbor:"5,keyasint"`
	MarkedByHolder   bool          `cbor:"6,keyasint,omitempty"` // the attempt itself marked the claim unknown
	Answer           *storedAnswer `cbor:"7,keyasint,omitempty"`
	ReleasedAttempts []string      `cbor:"8,keyasint,omitempty"` // attempts that must not be granted the claim
	Completed        uint64        `cbor:"9,keyasint,omitempty"` // sequence number of the completion
}

// Table is the replicated state machine of a claim group. Apply is
// deterministic: all times come from the commands.
type Table struct {
	limits Limits

	mu        sync.Mutex
	wallMS    int64  // latest wall time of a command; never decreases
	fenceMS   int64  // keys created before this time are unknown unless they have a record
	completed uint64 // number of completions
	store     recordStore
	leases    leaseTable
	watchers  map[claimID][]chan struct{}
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	limits.MustBeValid()
	t := &Table{limits: limits, watchers: map[claimID][]chan struct{}{}}
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

// Apply applies one command of the log and returns the encoded outcome. It
// implements consensus.StateMachine.
func (t *Table) Apply(_ uint64, encoded []byte) []byte {
	var c command
	if err := cbor.Unmarshal(encoded, &c); err != nil {
		// All members decode the same bytes, so all of them reject the command.
		return encode(outcome{State: Unknown})
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
	case opMarkUnknown:
		return t.markUnknown(c)
	case opLease:
		return outcome{OK: t.leases.acquire(c, t.limits)}
	default:
		return outcome{State: Unknown}
	}
}

func (t *Table) claim(c command) outcome {
	if state := t.limits.keyState(Key{ID: c.Key}.CreatedMS(), t.wallMS); state != "" {
		return outcome{State: state}
	}
	r := t.store.get(c.claimID())
	if r != nil && slices.Contains(r.ReleasedAttempts, c.Attempt) {
		return outcome{State: Released}
	}
	if r == nil || r.Status == statusReleased {
		if t.fenced(c.Key) {
			return outcome{State: Unknown}
		}
		t.grant(c, r)
		return outcome{State: Granted, OK: true}
	}
	if r.Attempt != c.Attempt && r.Digest != c.Digest {
		return outcome{State: Conflict}
	}
	if r.Status == statusRunning && r.Attempt == c.Attempt {
		return outcome{State: Granted, OK: true}
	}
	return t.outcomeOf(r)
}

func (t *Table) grant(c command, r *record) {
	if r == nil {
		r = t.newRecord(c)
	}
	r.Status = statusRunning
	r.Digest = c.Digest
	r.Attempt = c.Attempt
	r.Holder = c.Holder
	r.ClaimedMS = t.wallMS
	r.MarkedByHolder = false
	t.put(r)
}

// complete stores the answer of the attempt that holds the claim. It also
// accepts an answer without a record if the fence covers the key: the claim was
// granted before the group lost its state, and resends get the answer instead
// of an unknown outcome.
func (t *Table) complete(c command) outcome {
	if c.Answer == nil || t.expired(c.Key) {
		return outcome{State: Expired}
	}
	r := t.store.get(c.claimID())
	if r == nil {
		if !t.fenced(c.Key) {
			return outcome{State: Released}
		}
		r = t.newRecord(c)
		r.Status = statusUnknown
	}
	if r.Attempt != c.Attempt {
		return t.outcomeOf(r)
	}
	if r.Status == statusRunning || r.Status == statusUnknown {
		r.Status = statusCompleted
		r.ReleasedAttempts = nil
		t.completed++
		r.Completed = t.completed
		r.Answer = t.answerToStore(c.Answer)
		t.put(r)
	}
	return outcome{State: t.outcomeOf(r).State, OK: r.Status == statusCompleted}
}

// release frees the claim of an attempt that sent no byte, and ensures that the
// attempt is not granted the claim later. A claim that another entry marked
// unknown because it considered the holder dead can still be released.
func (t *Table) release(c command) outcome {
	if t.expired(c.Key) {
		return outcome{State: Expired, OK: true}
	}
	r := t.store.get(c.claimID())
	if r == nil {
		if t.fenced(c.Key) {
			return outcome{State: Unknown, OK: true}
		}
		r = t.newRecord(c)
		r.Status = statusReleased
	}
	isHolder := r.Attempt == c.Attempt
	if isHolder && (r.Status == statusCompleted || r.Status == statusUnknown && r.MarkedByHolder) {
		return t.outcomeOf(r)
	}
	if isHolder && r.Status != statusReleased {
		r.Status = statusReleased
		r.Attempt = ""
	}
	if r.Status != statusCompleted && !slices.Contains(r.ReleasedAttempts, c.Attempt) {
		r.ReleasedAttempts = append(r.ReleasedAttempts, c.Attempt)
		r.ReleasedAttempts = r.ReleasedAttempts[max(0, len(r.ReleasedAttempts)-maxReleasedAttempts):]
	}
	t.put(r)
	return outcome{State: t.outcomeOf(r).State, OK: true}
}

// markUnknown marks a running claim unknown, either for the attempt that holds it
// or, with an empty attempt, for a holder that membership reports as dead.
func (t *Table) markUnknown(c command) outcome {
	if t.expired(c.Key) {
		return outcome{State: Expired, OK: true}
	}
	r := t.store.get(c.claimID())
	if r == nil {
		return t.markWithoutRecord(c)
	}
	byHolder := c.Attempt != "" && r.Attempt == c.Attempt
	byMembership := c.Attempt == "" && r.Holder == c.Holder
	if r.Status == statusRunning && (byHolder || byMembership) {
		r.Status = statusUnknown
	}
	if r.Status == statusUnknown && byHolder {
		r.MarkedByHolder = true
	}
	t.put(r)
	return outcome{State: t.outcomeOf(r).State, OK: true}
}

// markWithoutRecord stores an unknown claim for an attempt that sent bytes but
// has no record, so that the key is not granted again.
func (t *Table) markWithoutRecord(c command) outcome {
	if c.Attempt != "" && !t.fenced(c.Key) {
		r := t.newRecord(c)
		r.Status = statusUnknown
		r.MarkedByHolder = true
		t.put(r)
	}
	return outcome{State: Unknown, OK: true}
}

// SetFence implements consensus.FenceSetter. It is called with the same time on
// all members whenever the group has re-formed without its state, and after each
// Restore, whose snapshot already contains the fence.
//
// A key can be claimed if it was created at most ClockError ahead of the clock
// of the leader, and that clock was at most ClockError ahead of the clock that
// set the fence. So no key created after fence + 2 * ClockError was claimed
// before the fence.
func (t *Table) SetFence(fence time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fenceMS := fence.Add(2 * t.limits.ClockError).UnixMilli()
	if fenceMS <= t.fenceMS {
		return
	}
	t.fenceMS = fenceMS
	t.leases.blockGrants()
	t.notifyAll()
}

// fenced reports whether the key may have been claimed before the group lost its
// state.
func (t *Table) fenced(key uuid.UUID) bool { return Key{ID: key}.CreatedMS() < t.fenceMS }

// expired reports whether claims of the key are refused because of its creation
// time, so that nothing needs to be stored for it.
func (t *Table) expired(key uuid.UUID) bool {
	return t.limits.keyState(Key{ID: key}.CreatedMS(), t.wallMS) != ""
}

// outcomeOf returns the state of a record as other attempts see it.
func (t *Table) outcomeOf(r *record) outcome {
	switch r.Status {
	case statusRunning:
		if t.wallMS-r.ClaimedMS > t.runTimeoutMS() {
			return outcome{State: Unknown}
		}
		return outcome{State: Running, Holder: r.Holder}
	case statusCompleted:
		return outcome{State: Completed, Holder: r.Holder, Answer: r.Answer}
	case statusReleased:
		return outcome{State: Released}
	default:
		return outcome{State: Unknown, Holder: r.Holder}
	}
}

// runTimeoutMS returns the age in milliseconds beyond which a running claim counts
// as unknown. The holder ends its call at CallLimit. ClockError is added so that
// a leader whose clock is ahead does not end the claim early.
func (t *Table) runTimeoutMS() int64 {
	return (t.limits.CallLimit + t.limits.ClockError).Milliseconds()
}
