package history

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// op returns an operation that lasts from start to end; end 0 is an unknown
// outcome.
func op(start, end eventNumber, input, output any) Operation {
	return Operation{Client: "c", Key: "k", Input: input, Output: output, start: start, end: end}
}

func accepted(version uint64) ChangeOutput { return ChangeOutput{Accepted: true, Version: version} }
func conflict(version uint64) ChangeOutput { return ChangeOutput{Version: version} }

func checkCases(t *testing.T, model func() Model, cases []historyCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			err := Check(model(), tc.operations)
			if tc.linearizable {
				assert.NoError(t, err)
				return
			}
			var violation *Violation
			require.ErrorAs(t, err, &violation)
			assert.Equal(t, tc.operations, violation.Operations)
		})
	}
}

type historyCase struct {
	desc         string
	linearizable bool
	operations   []Operation
}

// Guards against a checker that accepts lost, repeated or reverted changes.
func TestCompareAndSet(t *testing.T) {
	read := func(version uint64) (any, any) { return ReadVersion{}, VersionOutput{version} }
	in, at1 := read(1)
	_, at0 := read(0)
	_, at2 := read(2)
	checkCases(t, CompareAndSet, []historyCase{
		{"empty", true, nil},
		{"in sequence", true, []Operation{
			op(1, 2, Change{"a", 0}, accepted(1)), op(3, 4, Change{"b", 1}, accepted(2)), op(5, 6, in, at2)}},
		{"equal bases, one accepted", true, []Operation{
			op(1, 4, Change{"a", 0}, conflict(1)), op(2, 3, Change{"b", 0}, accepted(1))}},
		{"equal bases, both accepted", false, []Operation{
			op(1, 4, Change{"a", 0}, accepted(1)), op(2, 3, Change{"b", 0}, accepted(1))}},
		{"equal bases, none accepted", false, []Operation{
			op(1, 4, Change{"a", 0}, conflict(1)), op(2, 3, Change{"b", 0}, conflict(1))}},
		{"resend gets the first output", true, []Operation{
			op(1, 2, Change{"a", 0}, accepted(1)), op(3, 4, Change{"b", 1}, accepted(2)), op(5, 6, Change{"a", 0}, accepted(1))}},
		{"resend is accepted again", false, []Operation{
			op(1, 2, Change{"a", 0}, accepted(1)), op(3, 4, Change{"a", 0}, accepted(2))}},
		{"resend is rejected", false, []Operation{
			op(1, 2, Change{"a", 0}, accepted(1)), op(3, 4, Change{"a", 0}, conflict(1))}},
		{"stale read", false, []Operation{
			op(1, 2, Change{"a", 0}, accepted(1)), op(3, 4, in, at0)}},
		{"read during the change sees either", true, []Operation{
			op(1, 6, Change{"a", 0}, accepted(1)), op(2, 3, in, at0), op(4, 5, in, at1)}},
		{"second read returns an older version", false, []Operation{
			op(1, 6, Change{"a", 0}, accepted(1)), op(2, 3, in, at1), op(4, 5, in, at0)}},
		{"read before the change began", false, []Operation{
			op(1, 2, in, at1), op(3, 4, Change{"a", 0}, accepted(1))}},
		{"unknown change took effect late", true, []Operation{
			op(1, 0, Change{"a", 0}, nil), op(2, 3, in, at0), op(4, 5, in, at1)}},
		{"unknown change never took effect", true, []Operation{
			op(1, 0, Change{"a", 0}, nil), op(2, 3, Change{"b", 0}, accepted(1))}},
		{"unknown change took effect and was reverted", false, []Operation{
			op(1, 0, Change{"a", 0}, nil), op(2, 3, in, at1), op(4, 5, in, at0)}},
		{"unknown change cannot explain two versions", false, []Operation{
			op(1, 0, Change{"a", 0}, nil), op(2, 3, in, at2)}},
		{"accepted change was lost", false, []Operation{
			op(1, 2, Change{"a", 0}, accepted(1)), op(3, 4, Change{"b", 0}, accepted(1))}},
	})
}

// Guards against a checker that accepts two runs of one request.
func TestAtMostOnce(t *testing.T) {
	claim := func(attempt string) Claim { return Claim{ActionClaim, attempt} }
	run := func(attempt string) Claim { return Claim{ActionRun, attempt} }
	checkCases(t, AtMostOnce, []historyCase{
		{"claim, run, complete, resend", true, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 4, run("a"), ClaimDone),
			op(5, 6, Claim{ActionComplete, "a"}, ClaimDone), op(7, 8, claim("b"), ClaimCompleted)}},
		{"two grants", false, []Operation{
			op(1, 4, claim("a"), ClaimGranted), op(2, 3, claim("b"), ClaimGranted)}},
		{"two runs", false, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 4, run("a"), ClaimDone), op(5, 6, run("a"), ClaimDone)}},
		{"run without a claim", false, []Operation{op(1, 2, run("a"), ClaimDone)}},
		{"run before the claim", false, []Operation{
			op(1, 2, run("a"), ClaimDone), op(3, 4, claim("a"), ClaimGranted)}},
		{"run under a claim with a lost response", true, []Operation{
			op(1, 0, claim("a"), nil), op(2, 3, run("a"), ClaimDone)}},
		{"run by another attempt", false, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 4, run("b"), ClaimDone)}},
		{"release and second grant", true, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 4, Claim{ActionRelease, "a"}, ClaimDone), op(5, 6, claim("b"), ClaimGranted)}},
		{"second grant after a run", false, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 4, run("a"), ClaimDone),
			op(5, 0, Claim{ActionRelease, "a"}, nil), op(6, 7, claim("b"), ClaimGranted)}},
		{"second grant after a fence", false, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 0, Claim{ActionForget, ""}, nil), op(4, 5, claim("b"), ClaimGranted)}},
		{"unknown after a fence", true, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 0, Claim{ActionForget, ""}, nil), op(4, 5, claim("b"), ClaimUnknown)}},
		{"unknown without a cause", false, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 4, claim("b"), ClaimUnknown)}},
		{"unknown becomes completed by its attempt", true, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 4, Claim{ActionUnknown, "a"}, ClaimDone),
			op(5, 6, Claim{ActionComplete, "a"}, ClaimDone), op(7, 8, claim("b"), ClaimCompleted)}},
		{"completed claim becomes free", false, []Operation{
			op(1, 2, claim("a"), ClaimGranted), op(3, 4, Claim{ActionComplete, "a"}, ClaimDone), op(5, 6, claim("b"), ClaimGranted)}},
	})
}

// randomHistory simulates clients that change and read one version. Each
// operation takes effect at a random moment between its start and its response;
// some responses are lost.
func randomHistory(random *rand.Rand) []Operation {
	model := CompareAndSet()
	state := model.Initial
	recorder := &Recorder{}
	type pending struct {
		call   *Call
		input  any
		output any
	}
	running := map[int]*pending{}
	for i := range 120 {
		client := random.IntN(6)
		p := running[client]
		switch {
		case p == nil:
			input := any(ReadVersion{})
			if random.IntN(3) > 0 {
				input = Change{ID: fmt.Sprint("id ", i), Base: state.(*versionState).version}
			}
			running[client] = &pending{call: recorder.Invoke(fmt.Sprint(client), "k", input), input: input}
		case p.output == nil:
			s := state.(*versionState)
			p.output = VersionOutput{s.version}
			if change, ok := p.input.(Change); ok {
				p.output = conflict(s.version)
				if change.Base == s.version {
					p.output = accepted(s.version + 1)
				}
			}
			state, _ = model.Step(state, p.input, p.output, false)
		default:
			if random.IntN(10) > 0 {
				p.call.Complete(p.output)
			}
			delete(running, client)
		}
	}
	return recorder.Operations()
}

// Guards against a checker that rejects linearizable histories, or accepts them
// with one output falsified.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 3))
		operations := randomHistory(random)
		require.NoError(t, Check(CompareAndSet(), operations), "seed %d", seed)
		var changes []int
		for i, operation := range operations {
			if output, ok := operation.Output.(ChangeOutput); ok && output.Accepted {
				changes = append(changes, i)
			}
		}
		i := changes[random.IntN(len(changes))]
		output := operations[i].Output.(ChangeOutput)
		output.Version += 1 + uint64(random.IntN(2))
		operations[i].Output = output
		require.Error(t, Check(CompareAndSet(), operations), "seed %d", seed)
	}
}

// Guards against a search whose cost doubles with each operation of unknown
// outcome.
func TestManyUnknownOutcomes(t *testing.T) {
	var operations []Operation
	for i := range eventNumber(60) {
		operations = append(operations, op(i+1, 0, Change{fmt.Sprint("lost ", i), 100 + uint64(i)}, nil))
	}
	operations = append(operations, op(101, 102, Change{"a", 0}, accepted(1)))
	require.NoError(t, Check(CompareAndSet(), operations))
	operations = append(operations, op(103, 104, Change{"b", 0}, accepted(1)))
	require.Error(t, Check(CompareAndSet(), operations))
}

func TestRecorder(t *testing.T) {
	r := &Recorder{}
	first := r.Invoke("a", "x", ReadVersion{})
	refused := r.Invoke("b", "x", Change{"1", 0})
	r.Invoke("c", "y", Change{"2", 0})
	first.Complete(VersionOutput{0})
	refused.Discard()
	assert.Panics(t, func() { first.Complete(VersionOutput{0}) })
	operations := r.Operations()
	require.Len(t, operations, 2)
	assert.False(t, operations[0].Unknown())
	assert.True(t, operations[1].Unknown())
	require.NoError(t, Check(CompareAndSet(), operations))

	operations[0].Output = VersionOutput{3}
	var violation *Violation
	require.True(t, errors.As(Check(CompareAndSet(), operations), &violation))
	assert.Equal(t, "x", violation.Key)
	assert.Contains(t, violation.Error(), "not linearizable")
}
