package localgroup

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/consensus"
)

// Guards against a group that counts as complete while one member follows an epoch
// that another one has replaced: the loss of two more members ends its majority.
func TestMembersOfDifferentEpochsDoNotVoteTogether(t *testing.T) {
	follower := func(epoch uint64) consensus.Status {
		return consensus.Status{Role: consensus.RoleFollower, Epoch: epoch}
	}
	leader := consensus.Status{Role: consensus.RoleLeader, Epoch: 2}
	learner := consensus.Status{Role: consensus.RoleLearner, Epoch: 2}
	tests := []struct {
		desc     string
		statuses []consensus.Status
		want     bool
	}{
		{"one epoch", []consensus.Status{follower(2), leader, follower(2)}, true},
		{"a member of an earlier epoch", []consensus.Status{follower(1), leader, follower(2)}, false},
		{"a member that is not admitted yet", []consensus.Status{follower(2), leader, learner}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			assert.Equal(t, test.want, voteTogether(test.statuses))
		})
	}
}
