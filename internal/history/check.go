package history

import (
	"fmt"
	"sort"
)

// Model is the sequential behaviour of one key. A state must be comparable
// with ==.
type Model struct {
	Initial any
	// Step applies an input to a state. It returns the next state and whether
	// the output is allowed. The output of an operation with an unknown outcome
	// is not looked at.
	Step func(state, input, output any, unknown bool) (next any, allowed bool)
}

// Check returns a *Violation if no order of the operations explains their
// answers under the model. Each operation takes effect between its start and
// its end; one with an unknown outcome takes effect at any time after its
// start, or never. The cost may be exponential in the number of operations
// that run at the same time on one key.
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
			return &Violation{Key: key, Operations: s.operations, Explained: s.best}
		}
	}
	return nil
}

// search looks for an order by depth-first search. It remembers the sets of
// taken operations with the state they led to, and never visits one twice.
type search struct {
	model      Model
	operations []Operation
	taken      []uint64 // bit set
	answered   int      // operations with an answer that are not yet taken
	visited    map[visit]bool
	best       int
}

type visit struct {
	taken string
	state any
}

func newSearch(model Model, operations []Operation) *search {
	s := &search{model: model, operations: operations, visited: map[visit]bool{}}
	s.taken = make([]uint64, (len(operations)+63)/64)
	for i := range operations {
		if !operations[i].Unknown() {
			s.answered++
		}
	}
	return s
}

func (s *search) run() bool { return s.explore(s.model.Initial, 0) }

// explore reports whether the operations that are not taken can follow state.
// Operations without an answer may be left out.
func (s *search) explore(state any, count int) bool {
	s.best = max(s.best, count)
	if s.answered == 0 {
		return true
	}
	key := visit{taken: fmt.Sprint(s.taken), state: state}
	if s.visited[key] {
		return false
	}
	s.visited[key] = true
	limit := s.firstEnd()
	for i := range s.operations {
		operation := &s.operations[i]
		if s.isTaken(i) || operation.start > limit {
			continue
		}
		next, allowed := s.model.Step(state, operation.Input, operation.Output, operation.Unknown())
		if !allowed {
			continue
		}
		s.take(i, true)
		if s.explore(next, count+1) {
			return true
		}
		s.take(i, false)
	}
	return false
}

// firstEnd returns the first end of an operation that is not taken. An
// operation that starts later cannot come next.
func (s *search) firstEnd() eventNumber {
	var first eventNumber
	for i := range s.operations {
		end := s.operations[i].end
		if end != 0 && !s.isTaken(i) && (first == 0 || end < first) {
			first = end
		}
	}
	return first
}

func (s *search) isTaken(i int) bool { return s.taken[i/64]&(1<<(i%64)) != 0 }

func (s *search) take(i int, taken bool) {
	s.taken[i/64] ^= 1 << (i % 64)
	if s.operations[i].Unknown() {
		return
	}
	if taken {
		s.answered--
		return
	}
	s.answered++
}
