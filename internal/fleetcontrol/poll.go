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

// PollPath is the path of the call by which entries follow the state.
const PollPath = "/fleet/v1/poll"

// PollHold is how long a poll waits for a change.
const PollHold = 500 * time.Millisecond

// staleHold is the same at a member that is in contact with no leader, so that
// the entry soon asks another one, or again.
const staleHold = 150 * time.Millisecond

const (
	// coalesce is how long a poll waits for further changes after the first one,
	// and coalescePerPoll is added for each poll that waits as well, up to
	// maxCoalesce: what a change costs grows with the entries that hear of it.
	coalesce        = 15 * time.Millisecond
	coalescePerPoll = 3 * time.Millisecond
	maxCoalesce     = 300 * time.Millisecond
)

// PollRequest asks for what changed after an index, and says that the entry is
// alive.
type PollRequest struct {
	Entry fleetstate.Entry `json:"entry"`
	After uint64           `json:"after"` // index of the entry's copy
	// Insists is set if the nearer members did not answer.
	Insists bool `json:"insists,omitempty"`
}

// PollAnswer is what changed, at once or at the end of PollHold.
type PollAnswer struct {
	// Fresh is set if the member is in contact with a leader.
	Fresh bool `json:"fresh"`
	// Nearer lists the members if one of them is nearer to the entry, which
	// should ask that one. The update is empty then.
	Nearer []fleetstate.Member `json:"nearer,omitempty"`
	Update fleetstate.Update   `json:"update"`
}

func (m *Member) servePoll(w http.ResponseWriter, r *http.Request) {
	var request PollRequest
	if !peerhttp.Decode(w, r, &request) {
		return
	}
	if nearer := m.nearer(request); nearer != nil {
		peerhttp.Answer(w, PollAnswer{Fresh: true, Nearer: nearer})
		return
	}
	ctx := r.Context()
	if m.Fresh() {
		m.presence.begin(request.Entry, m.clock.Now())
		m.noteEntry(request.Entry)
	}
	hold := PollHold
	if !m.Fresh() {
		hold = staleHold
	}
	m.awaitChange(ctx, request.After, hold)
	gone := ctx.Err() != nil
	m.presence.end(request.Entry.Name, gone, m.clock.Now())
	if gone {
		m.wakeSweep()
		return
	}
	m.answerPoll(w, r, request.After)
}

// answerPoll writes a PollAnswer around an update that is encoded once for all
// entries.
func (m *Member) answerPoll(w http.ResponseWriter, r *http.Request, after uint64) {
	update := m.machine.EncodedSince(after)
	head := `{"fresh":` + strconv.FormatBool(m.Fresh()) + `,"update":`
	if update.Gzip == nil || !peerhttp.AcceptsGzip(r) {
		peerhttp.Write(w, []byte(head), update.JSON, []byte("}"))
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	// Members of a gzip stream may follow each other.
	peerhttp.Write(w, fleetstate.Compress([]byte(head)), update.Gzip, fleetstate.Compress([]byte("}")))
}

// nearer returns all members if the entry has no copy yet and one of the other
// members is in its region while this one is not. A whole copy is not sent to
// another region without need.
func (m *Member) nearer(request PollRequest) []fleetstate.Member {
	if request.After != 0 || request.Insists || request.Entry.Region == m.self.Region || !m.Fresh() {
		return nil
	}
	members := m.machine.Members()
	if slices.ContainsFunc(members, func(r fleetstate.Member) bool { return r.Region == request.Entry.Region }) {
		return members
	}
	return nil
}

// awaitChange waits until the state is newer than the index, for a time at most.
func (m *Member) awaitChange(ctx context.Context, after uint64, hold time.Duration) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		changed, index := m.machine.Changed()
		if index > after {
			_ = m.clock.Sleep(ctx, min(coalesce+time.Duration(m.presence.waiting())*coalescePerPoll, maxCoalesce))
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

// noteEntry proposes the record of an entry that the state does not hold as it
// is now.
func (m *Member) noteEntry(e fleetstate.Entry) {
	e.ControlMember = m.self.PeerAddress
	record, ok := m.machine.Entry(e.Name)
	e.Changed = record.Changed
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
