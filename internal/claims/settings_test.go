package claims

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against entries that choose different groups for the same key, for
// instance because they run different versions. The expected counts must stay the
// same in all versions.
func TestGroupChoiceIsStable(t *testing.T) {
	groups := []GroupSettings{{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "b1", Region: "b"}}
	counts := map[string]int{}
	for n := range 1000 {
		key := NewKey(time.UnixMilli(testNowMS), [10]byte{8: byte(n >> 8), 9: byte(n)})
		g, ok := groupForKey(groups, "a", "p", key)
		require.True(t, ok)
		assert.Equal(t, "a", g.Region)
		g, _ = groupForKey(groups, "", "p", key)
		counts[g.Name]++
	}
	assert.Equal(t, map[string]int{"a1": 344, "a2": 308, "b1": 348}, counts)
	_, ok := groupForKey(groups, "c", "p", Key{})
	assert.False(t, ok)
}
