package consensus

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// errMalformedMessage is returned for a message that no member sends. It is
// rejected before it reaches the core, whose invariants it could break.
var errMalformedMessage = errors.New("consensus: malformed message")

// validate returns an error that wraps errMalformedMessage if the fields of the
// message contradict each other.
func (m message) validate() error {
	switch {
	case m.Type < msgAppend || m.Type > msgLeaveResp:
		return fmt.Errorf("%w: unknown type %d", errMalformedMessage, m.Type)
	case m.Type == msgSnapshot && (m.Snapshot == nil || m.Snapshot.Index == 0 || m.Snapshot.Term > m.Term):
		return fmt.Errorf("%w: snapshot without an index, or of a later term", errMalformedMessage)
	case m.Type != msgAppend && len(m.Entries) > 0:
		return fmt.Errorf("%w: entries in a message of type %d", errMalformedMessage, m.Type)
	case m.LogTerm > m.Term && m.Type == msgAppend:
		return fmt.Errorf("%w: entry %d of term %d in term %d", errMalformedMessage, m.Index, m.LogTerm, m.Term)
	}
	index, term := m.Index, m.LogTerm
	for _, entry := range m.Entries {
		if entry.Index != index+1 || entry.Term < term || entry.Term > m.Term {
			return fmt.Errorf("%w: entry %d of term %d after entry %d of term %d", errMalformedMessage, entry.Index, entry.Term, index, term)
		}
		if err := entry.validate(); err != nil {
			return err
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}

// validate checks the data of a membership change.
func (e Entry) validate() error {
	switch e.Kind {
	case entryCommand, entryNoop:
		return nil
	case entryReplace:
		var id MemberID
		if err := cbor.Unmarshal(e.Data, &id); err != nil || id.Slot == "" || id.Incarnation == 0 {
			return fmt.Errorf("%w: entry %d admits no member", errMalformedMessage, e.Index)
		}
		return nil
	case entryRemove:
		if len(e.Data) == 0 {
			return fmt.Errorf("%w: entry %d removes no slot", errMalformedMessage, e.Index)
		}
		return nil
	default:
		return fmt.Errorf("%w: entry %d has unknown kind %d", errMalformedMessage, e.Index, e.Kind)
	}
}
