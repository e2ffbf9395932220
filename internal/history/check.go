package history

import (
	"fmt"
	"sort"
)

// Model is the sequential specification of one key. States must be comparable
// with ==.
type Model struct {
	Initial any
	// Step applies an input to a state. It returns the next state and whether
	// the model allows the output. It ignores the output if unknown is set.
	Step func(state, input, output any, unknown bool) (next any, allowed bool)
}

// Check returns a *Violation if the operations on some key are not linearizable
// under the model. Each operation takes effect between its start and its end;
// one with an unknown outcome takes effect at any time after its start, or
// never. The cost may be exponential in the number of concurrent operations on
// one key.
func Check(model Model, operations []Operation) error {
	byKey := map[string][]Operation{}
	for _, operation := range operations {
		byKey[operation.Key] = append(byKey[operation.Key], operation)
	}
	keys := make([]string, 0, len(byKey))
	for key := range byKey {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s := newSearch(model, byKey[key])
		if !s.run() {
			return &Violation{Key: key, Operations: s.operations, Linearized: s.longest}
		}
	}
	return nil
}

// search is a depth-first search for a linearization. It remembers each set of
// linearized operations together with the resulting state and visits none twice.
type search struct {
	model      Model
	operations []Operation
	linearized []uint64 // bit set of the operations in the current prefix
	pending    int      // operations with a known outcome that are not in the prefix
	visited    map[searchState]bool
	longest    int // length of the longest prefix found
}

type searchState struct {
	linearized string
	state      any
}

func newSearch(model Model, operations []Operation) *search {
	s := &search{model: model, operations: operations, visited: map[searchState]bool{}}
	s.linearized = make([]uint64, (len(operations)+63)/64)
	for i := range operations {
		if !operations[i].Unknown() {
			s.pending++
		}
	}
	return s
}

func (s *search) run() bool { return s.explore(s.model.Initial, 0) }

// explore reports whether the remaining operations can be linearized from state,
// the result of a prefix of depth operations. Operations with an unknown outcome
// may be left out.
func (s *search) explore(state any, depth int) bool {
	s.longest = max(s.longest, depth)
	if s.pending == 0 {
		return true
	}
	key := searchState{linearized: fmt.Sprint(s.linearized), state: state}
	if s.visited[key] {
		return false
	}
	s.visited[key] = true
	limit := s.earliestEnd()
	for i := range s.operations {
		operation := &s.operations[i]
		if s.isLinearized(i) || operation.start > limit {
			continue
		}
		next, allowed := s.model.Step(state, operation.Input, operation.Output, operation.Unknown())
		// An operation with an unknown outcome that leaves the state unchanged
		// is equivalent to one that never ran. Trying both would double the
		// search for each such operation.
		if !allowed || operation.Unknown() && next == state {
			continue
		}
		s.setLinearized(i, true)
		if s.explore(next, depth+1) {
			return true
		}
		s.setLinearized(i, false)
	}
	return false
}

// earliestEnd returns the earliest end of the remaining operations. An operation
// that starts later cannot come next.
func (s *search) earliestEnd() eventNumber {
	var earliest eventNumber
	for i := range s.operations {
		end := s.operations[i].end
		if end != 0 && !s.isLinearized(i) && (earliest == 0 || end < earliest) {
			earliest = end
		}
	}
	return earliest
}

func (s *search) isLinearized(i int) bool { return s.linearized[i/64]&(1<<(i%64)) != 0 }

// setLinearized adds operation i to the prefix or removes it. The caller must
// alternate between the two, since the bit is flipped.
func (s *search) setLinearized(i int, linearized bool) {
	s.linearized[i/64] ^= 1 << (i % 64)
	if s.operations[i].Unknown() {
		return
	}
	if linearized {
		s.pending--
		return
	}
	s.pending++
}
