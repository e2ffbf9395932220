package history

import "fmt"

// Change is the input of a compare-and-set change: it is accepted if the
// current version is Base. A change whose ID was accepted before gets the first
// output again.
type Change struct {
	ID   string
	Base uint64
}

// ReadVersion is the input of a read of the current version.
type ReadVersion struct{}

// ChangeOutput is the output of a Change.
type ChangeOutput struct {
	Accepted bool
	Version  uint64 // created by the change if accepted, otherwise the current one
}

// VersionOutput is the output of ReadVersion.
type VersionOutput struct{ Version uint64 }

// versionState is a version with the id of the change that created it and the
// previous state.
type versionState struct {
	version  uint64
	id       string
	previous *versionState
}

// versionOf returns the version that the change with this id created, if any.
func (s *versionState) versionOf(id string) (uint64, bool) {
	for ; s != nil && s.version > 0; s = s.previous {
		if s.id == id {
			return s.version, true
		}
	}
	return 0, false
}

// CompareAndSet returns the model of a version that starts at 0 and is
// incremented by each accepted change.
func CompareAndSet() Model {
	// States are interned, so that equal states are the same pointer.
	interned := map[versionState]*versionState{}
	intern := func(s versionState) *versionState {
		if interned[s] == nil {
			interned[s] = &s
		}
		return interned[s]
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
				if version, ok := s.versionOf(in.ID); ok {
					return s, unknown || output == ChangeOutput{Accepted: true, Version: version}
				}
				if in.Base == s.version {
					s = intern(versionState{version: s.version + 1, id: in.ID, previous: s})
					want = ChangeOutput{Accepted: true, Version: s.version}
				}
				return s, unknown || output == want
			}
			panic(fmt.Sprintf("history: input %T is not supported by this model", input))
		},
	}
}

// ClaimAction is the kind of an operation on the claim of a key.
type ClaimAction string

// Actions on a claim.
const (
	ActionClaim    ClaimAction = "claim"
	ActionRun      ClaimAction = "run"      // the effect of the request, recorded by the upstream
	ActionComplete ClaimAction = "complete" // store the response
	ActionRelease  ClaimAction = "release"  // free the key, since nothing was run
	ActionUnknown  ClaimAction = "unknown"  // no attempt may claim the key again
	ActionForget   ClaimAction = "forget"   // the key becomes unknown to all, as after a fence or the death of its holder
)

// Claim is the input of an operation on the claim of a key.
type Claim struct {
	Action  ClaimAction
	Attempt string
}

// ClaimState is the output of an operation on the claim of a key: the state of
// the key as reported to the attempt. ClaimGranted is a claim of the attempt
// itself.
type ClaimState string

// States reported to an attempt.
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

// AtMostOnce returns the model of a key that is claimed before its effect runs.
// The effect may run at most once, and only for the attempt that holds the
// claim. A released key may be claimed again. An attempt that repeats its own
// claim gets ClaimGranted.
func AtMostOnce() Model {
	return Model{
		Initial: claimState{state: ClaimFree},
		Step: func(state, input, output any, unknown bool) (any, bool) {
			in, ok := input.(Claim)
			if !ok {
				panic(fmt.Sprintf("history: input %T is not supported by this model", input))
			}
			next, want := stepAtMostOnce(state.(claimState), in)
			return next, unknown || output == want
		},
	}
}

func stepAtMostOnce(s claimState, in Claim) (claimState, ClaimState) {
	switch in.Action {
	case ActionClaim:
		return stepClaim(s, in.Attempt)
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

func stepClaim(s claimState, attempt string) (claimState, ClaimState) {
	switch {
	case s.state == ClaimFree:
		return claimState{state: ClaimRunning, holder: attempt}, ClaimGranted
	case s.state == ClaimRunning && s.holder == attempt:
		return s, ClaimGranted
	}
	return s, s.state
}

// stepHolder applies an action of the attempt that holds the claim, or held it
// before it became unknown or completed.
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
		panic(fmt.Sprintf("history: action %q is not supported by this model", action))
	}
	return s, ClaimDone
}
