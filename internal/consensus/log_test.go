package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a follower that copies its whole log on each append.
func TestMergeAtEndKeepsCapacity(t *testing.T) {
	l := replicatedLog{entries: make([]Entry, 0, 8)}
	for index := uint64(1); index <= 8; index++ {
		l.merge([]Entry{{Index: index, Term: 1}})
		assert.Equal(t, 8, cap(l.entries), "entry %d", index)
	}
}

// Guards against entries that are overwritten while storage or another member
// still reads them.
func TestMergeOfConflictKeepsOldSlices(t *testing.T) {
	l := replicatedLog{entries: make([]Entry, 0, 8)}
	l.merge([]Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}})
	old := l.slice(1, 3)
	l.merge([]Entry{{Index: 2, Term: 2}})
	assert.Equal(t, []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}, old)
	assert.Equal(t, []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}, l.slice(1, 2))
}
