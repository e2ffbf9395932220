package fleetcontrol

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
)

// PollPath is the path of the long poll by which entries follow the state.
const PollPath = "/fleet/v1/poll"

// PollHold is how long a poll waits for a change.
const PollHold = 500 * time.Millisecond

// noContactHold is the hold of a member that is not in contact with a leader.
// It is short so that the entry soon polls another member, or polls again.
const noContactHold = 150 * time.Millisecond

const (
	// coalesceDelay is how long a poll waits for further changes after the
	// first one. coalesceDelayPerPoll is added for each waiting poll, up to
	// maxCoalesceDelay, since the cost of a change grows with the number of
	// entries that receive it.
	coalesceDelay        = 15 * time.Millisecond
	coalesceDelayPerPoll = 3 * time.Millisecond
	maxCoalesceDelay     = 300 * time.Millisecond
)

// NotConfirmed is the ConfirmedAge of a member without a confirmation. It distinguishes
// the member from one of an earlier release, which will have none for long.
const NotConfirmed = time.Duration(-1)

// PollRequest requests the changes after an index. It also tells the member
// that the entry is alive.
type PollRequest struct {
	Entry fleetstate.Entry `json:"entry" cbor:"1,keyasint"`
	After uint64           `json:"after" cbor:"2,keyasint"` // index of the entry's copy; 0: none
	// NoRedirect is set once the entry was redirected. The member then responds
	// even if there is a nearer one, since that one may not respond.
	NoRedirect bool `json:"insists,omitempty" cbor:"3,keyasint,omitempty"`
	// Confirm requests ConfirmedAge.
	Confirm bool `json:"confirm,omitempty" cbor:"4,keyasint,omitempty"`
	// ConfirmSoon is set if the entry has no recent confirmation. The member then
	// responds as soon as it has one, instead of waiting for a change.
	ConfirmSoon bool `json:"confirm_soon,omitempty" cbor:"5,keyasint,omitempty"`
}

// PollResponse holds the changes. It is sent once there are any, or empty at
// the end of PollHold.
type PollResponse struct {
	// InContact is set if the member is in contact with a leader and is not stopping.
	// Otherwise the entry polls another member.
	InContact bool `json:"fresh" cbor:"1,keyasint"`
	// Redirect lists the members if the entry should poll a nearer one. The
	// update is empty then.
	Redirect []fleetstate.Member `json:"nearer,omitempty" cbor:"2,keyasint,omitempty"`
	Update   fleetstate.Update   `json:"update" cbor:"3,keyasint"`
	// ConfirmedAge states, if it was requested, that the entry's copy after the update
	// holds everything that was committed this long before the update was read. It is
	// NotConfirmed if the member has no confirmation, and nil if none was requested or
	// the member is of an earlier release.
	ConfirmedAge *time.Duration `json:"confirmed_age,omitempty" cbor:"4,keyasint,omitempty"`
}

func (m *Member) servePoll(w http.ResponseWriter, r *http.Request) {
	var request PollRequest
	call, ok := peerhttp.Decode(w, r, &request)
	if !ok {
		return
	}
	if err := request.Entry.Validate(); err != nil {
		m.log.Warn("poll rejected", zap.String("entry", request.Entry.Name), zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if members := m.redirect(request); members != nil {
		call.Respond(PollResponse{InContact: true, Redirect: members})
		return
	}
	ctx := r.Context()
	if m.servesPolls() {
		m.presence.pollStarted(request.Entry, m.clock.Now())
		m.proposeEntry(request.Entry)
	}
	hold := PollHold
	if !m.InContact() {
		hold = noContactHold
	}
	m.awaitResponse(ctx, request, hold)
	gone := ctx.Err() != nil
	m.presence.pollEnded(request.Entry.Name, gone, m.clock.Now())
	if gone {
		m.requestDetection()
		return
	}
	m.writePollResponse(call, w, r, request)
}

// servesPolls reports whether entries should poll this member. A member that is
// stopping holds no poll, so entries would poll it again at once.
func (m *Member) servesPolls() bool { return !m.isStopping() && m.InContact() }

// awaitResponse waits until the poll should be answered, for at most the hold time.
func (m *Member) awaitResponse(ctx context.Context, request PollRequest, hold time.Duration) {
	if !request.Confirm {
		m.awaitChange(ctx, request.After, hold)
		return
	}
	m.barriers.pollStarted()
	defer m.barriers.pollEnded()
	if request.ConfirmSoon {
		m.barriers.awaitRecent(ctx, m.stopping, hold)
		return
	}
	m.awaitChange(ctx, request.After, hold)
}

// writePollResponse writes a PollResponse as JSON. It inserts the encoded update, which
// is shared by all entries at the same index.
func (m *Member) writePollResponse(call peerhttp.Call, w http.ResponseWriter, r *http.Request, request PollRequest) {
	confirmation := m.barriers.last() // before the update is read, which then is at least as new
	update := m.stateMachine.EncodedSince(request.After)
	prefix := `{"fresh":` + strconv.FormatBool(m.servesPolls())
	if request.Confirm {
		age := m.barriers.age(confirmation, update.Index)
		prefix += `,"confirmed_age":` + strconv.FormatInt(int64(age), 10)
	}
	prefix += `,"update":`
	if update.Gzip == nil || !peerhttp.AcceptsGzip(r) {
		call.RespondEncoded([]byte(prefix), update.JSON, []byte("}"))
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	// A gzip stream may consist of several members.
	call.RespondEncoded(fleetstate.Compress([]byte(prefix)), update.Gzip, fleetstate.Compress([]byte("}")))
}

// redirect returns all members if the entry has no copy yet and another member
// is in its region while this one is not. This avoids sending the whole state
// to another region. Otherwise it returns nil.
func (m *Member) redirect(request PollRequest) []fleetstate.Member {
	if request.After != 0 || request.NoRedirect || request.Entry.Region == m.self.Region || !m.InContact() {
		return nil
	}
	members := m.stateMachine.Members()
	if slices.ContainsFunc(members, func(r fleetstate.Member) bool { return r.Region == request.Entry.Region }) {
		return members
	}
	return nil
}

// awaitChange waits until the state is newer than the index, for at most the hold
// time.
func (m *Member) awaitChange(ctx context.Context, after uint64, hold time.Duration) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		changed, index := m.stateMachine.Changed()
		if index > after {
			_ = m.clock.Sleep(ctx, min(coalesceDelay+time.Duration(m.presence.waitingPolls())*coalesceDelayPerPoll, maxCoalesceDelay))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-m.stopping:
			return
		case <-ctx.Done():
			return
		}
	}
}

// proposeEntry proposes the record of a polling entry in the background if it
// differs from that in the state.
func (m *Member) proposeEntry(e fleetstate.Entry) {
	e.ControlMember = m.self.PeerAddress
	record, ok := m.stateMachine.Entry(e.Name)
	e.ChangeIndex = record.ChangeIndex
	if ok && (record == e || record.Incarnation > e.Incarnation) {
		return
	}
	if !m.presence.startProposal(e.Name) {
		return
	}
	go func() {
		defer m.presence.endProposal(e.Name)
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		if _, err := m.batch.submit(ctx, fleetstate.Command{Entries: []fleetstate.Entry{e}}); err != nil {
			m.log.Warn("entry not recorded", zap.String("entry", e.Name), zap.String("state", string(e.State)), zap.Error(err))
			return
		}
		m.log.Info("entry recorded", zap.String("entry", e.Name), zap.String("state", string(e.State)), zap.Uint64("incarnation", e.Incarnation))
	}()
}
