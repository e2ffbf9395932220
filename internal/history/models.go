package history

import "fmt"

// Change is the input of a compare-and-set change: it is accepted if the
// current version is Base. A change with an ID that was accepted before gets
// the first answer again.
type Change struct {
	ID   string
	Base uint64
}

// ReadVersion is the input of a read of the current version.
type ReadVersion struct{}

// ChangeOutput is the output of a Change.
type ChangeOutput struct {
	Accepted bool
	Version  uint64 // made by the change, or else the current one
}

// VersionOutput is the output of ReadVersion.
type VersionOutput struct{ Version uint64 }

// versionState is a version with the change that made it and the state before.
type versionState struct {
	version  uint64
	id       string
	previous *versionState
}

func (s *versionState) madeBy(id string) (uint64, bool) {
	for ; s != nil && s.version > 0; s = s.previous {
		if s.id == id {
			return s.version, true
		}
	}
	return 0, false
}

// CompareAndSet is the model of a version that starts at 0 and that each
// accepted change raises by one.
func CompareAndSet() Model {
	// States are shared, so that equal states are the same pointer.
	known := map[versionState]*versionState{}
	intern := func(s versionState) *versionState {
		if known[s] == nil {
			known[s] = &s
		}
		return known[s]
	}
	return Model{
		Initial: intern(versionState{}),
		Step: func(state, input, output any, unknown bool) (any, bool) {
			s := state.(*versionState)
			switch in := input.(type) {
			case ReadVersion:
				return s, unknown || output == VersionOutput{s.version}
			case Change:
				want := ChangeOutput{Version: s.version}
				if version, ok := s.madeBy(in.ID); ok {
					return s, unknown || output == ChangeOutput{Accepted: true, Version: version}
				}
				if in.Base == s.version {
					s = intern(versionState{version: s.version + 1, id: in.ID, previous: s})
					want = ChangeOutput{Accepted: true, Version: s.version}
				}
				return s, unknown || output == want
			}
			panic(fmt.Sprintf("history: input %T is not of this model", input))
		},
	}
}

// ClaimAction is the input of a claim-like operation on one key.
type ClaimAction string

// The actions on a claim.
const (
	ActionClaim    ClaimAction = "claim"
	ActionRun      ClaimAction = "run"      // the effect itself, recorded by the upstream
	ActionComplete ClaimAction = "complete" // store the answer
	ActionRelease  ClaimAction = "release"  // free the key: nothing was run
	ActionUnknown  ClaimAction = "unknown"  // nobody may claim the key again
	ActionForget   ClaimAction = "forget"   // the key becomes unknown for all, as after a fence or a dead holder
)

// Claim is the input of a claim-like operation.
type Claim struct {
	Action  ClaimAction
	Attempt string
}

// ClaimState is the output of a claim-like operation: the state of the key as
// the attempt sees it. Granted is a new claim of the attempt itself.
type ClaimState string

// The states that an attempt is told.
const (
	ClaimFree      ClaimState = "free"
	ClaimGranted   ClaimState = "granted"
	ClaimRunning   ClaimState = "running" // another attempt holds the claim
	ClaimCompleted ClaimState = "completed"
	ClaimUnknown   ClaimState = "unknown"
	ClaimRefused   ClaimState = "refused" // the action is not allowed in this state
	ClaimDone      ClaimState = "done"    // the action was carried out
)

type claimState struct {
	state  ClaimState // free, running, completed or unknown
	holder string
	ran    bool
}

// AtMostOnce is the model of a key that is claimed before its effect is run.
// The effect may run once at most, and only for the attempt that holds the
// claim. A released key may be claimed again. An attempt that repeats its own
// claim is told that it is granted.
func AtMostOnce() Model {
	return Model{
		Initial: claimState{state: ClaimFree},
		Step: func(state, input, output any, unknown bool) (any, bool) {
			in, ok := input.(Claim)
			if !ok {
				panic(fmt.Sprintf("history: input %T is not of this model", input))
			}
			next, want := stepClaim(state.(claimState), in)
			return next, unknown || output == want
		},
	}
}

func stepClaim(s claimState, in Claim) (claimState, ClaimState) {
	switch in.Action {
	case ActionClaim:
		return claim(s, in.Attempt)
	case ActionForget:
		if s.state != ClaimCompleted {
			s.state = ClaimUnknown
		}
		return s, ClaimDone
	}
	if s.holder != in.Attempt || s.state == ClaimFree {
		return s, ClaimRefused
	}
	return stepHolder(s, in.Action)
}

func claim(s claimState, attempt string) (claimState, ClaimState) {
	switch {
	case s.state == ClaimFree:
		return claimState{state: ClaimRunning, holder: attempt}, ClaimGranted
	case s.state == ClaimRunning && s.holder == attempt:
		return s, ClaimGranted
	}
	return s, s.state
}

// stepHolder is a step of the attempt that holds the claim, or held it before
// it became unknown or completed.
func stepHolder(s claimState, action ClaimAction) (claimState, ClaimState) {
	switch action {
	case ActionRun:
		if s.ran || s.state == ClaimCompleted {
			return s, ClaimRefused
		}
		s.ran = true
	case ActionComplete:
		s.state = ClaimCompleted
	case ActionRelease:
		if s.state != ClaimRunning || s.ran {
			return s, ClaimRefused
		}
		s = claimState{state: ClaimFree}
	case ActionUnknown:
		if s.state != ClaimRunning {
			return s, ClaimRefused
		}
		s.state = ClaimUnknown
	default:
		panic(fmt.Sprintf("history: action %q is not of this model", action))
	}
	return s, ClaimDone
}
