package ownership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membership"
)

func members(n int) []membership.Member {
	var list []membership.Member
	for i := range n {
		list = append(list, membership.Member{Name: fmt.Sprintf("entry-%d", i), Region: "north", State: membership.Alive})
	}
	return list
}

// Guards against ranking a member that must not own a service.
func TestRankOmitsUnusableMembers(t *testing.T) {
	cases := []struct {
		desc   string
		change func(m *membership.Member)
		ranked bool
	}{
		{"alive", func(*membership.Member) {}, true},
		{"suspect", func(m *membership.Member) { m.State = membership.Suspect }, true},
		{"suspect while draining", func(m *membership.Member) { m.State, m.WasDraining = membership.Suspect, true }, false},
		{"draining", func(m *membership.Member) { m.State = membership.Draining }, false},
		{"dead", func(m *membership.Member) { m.State = membership.Dead }, false},
		{"left", func(m *membership.Member) { m.State = membership.Left }, false},
		{"isolated", func(m *membership.Member) { m.Isolated = true }, false},
		{"other region", func(m *membership.Member) { m.Region = "south" }, false},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			list := members(5)
			tc.change(&list[2])
			names := map[string]bool{}
			for _, m := range Rank(list, "consents", "north") {
				names[m.Name] = true
			}
			assert.Equal(t, tc.ranked, names["entry-2"])
		})
	}
}

// Guards against the loss of a member moving services of other owners, and
// against its own services not moving to the member of the second rank.
func TestMemberLossMovesOnlyItsServices(t *testing.T) {
	list := members(10)
	owned := map[string]int{}
	for i := range 1000 {
		service := fmt.Sprintf("service-%d", i)
		before := Rank(list, service, "north")
		owned[before[0].Name]++
		after := Rank(list[1:], service, "north")
		if before[0].Name == "entry-0" {
			assert.Equal(t, before[1].Name, after[0].Name)
			continue
		}
		assert.Equal(t, before[0].Name, after[0].Name)
	}
	for name, n := range owned {
		assert.InDelta(t, 100, n, 50, name)
	}
}

type fakeSource struct {
	list  []membership.Member
	epoch uint64
}

func (f *fakeSource) Members() []membership.Member { return f.list }
func (f *fakeSource) Epoch() uint64                { return f.epoch }

// Guards against a cached ranking of an earlier epoch being returned.
func TestRankerRecomputesOnNewEpoch(t *testing.T) {
	source := &fakeSource{list: members(3), epoch: 1}
	ranker := NewRanker(source)
	require.Len(t, ranker.Rank("s", "north"), 3)
	source.list = members(2)
	assert.Len(t, ranker.Rank("s", "north"), 3)
	source.epoch = 2
	assert.Len(t, ranker.Rank("s", "north"), 2)
	assert.Equal(t, []string{"north"}, ranker.Regions())
}
