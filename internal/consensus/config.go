package consensus

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

// Defaults of a Config.
const (
	DefaultHeartbeatInterval = 50 * time.Millisecond
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultLearnerTimeout    = 10 * time.Second
	DefaultSnapshotTimeout   = 10 * time.Second
	DefaultSnapshotEvery     = 10_000
	DefaultSnapshotBytes     = 16 << 20
	// DefaultFaultTolerance is what a group of five voting members bears.
	DefaultFaultTolerance = 2
)

// maxMembers limits the number of configured slots of a group. It must be less
// than epochStride.
const maxMembers = 9

// maxVoters limits the number of voting members of a dynamic group.
const maxVoters = 15

// MaxFaultTolerance is the highest Config.FaultTolerance.
const MaxFaultTolerance = (maxVoters - 1) / 2

// Member is a slot of a group and the address of its member.
type Member struct {
	Slot    string `json:"slot"`
	Address string `json:"address"` // IP address and port
}

// Config configures one member of a group. Fields with a default may be zero.
type Config struct {
	Group        string   // name of the group, the same on all members; part of URLs
	Self         string   // slot of this member
	Members      []Member // all slots of the group, the same on all members
	Storage      Storage
	StateMachine StateMachine
	Clock        sys.Clock          // default: the system clock
	Rand         *rand.Rand         // default: randomly seeded; must not be used by anyone else
	Logger       *zap.Logger        // default: no logs
	Token        string             // shared secret of all members; empty: requests are not authenticated
	PathPrefix   string             // default "/consensus/v1/" followed by Group
	Client       *http.Client       // default: a client with timeouts suited to connections between members
	Locations    *traffic.Locations // of the members, for counting traffic; may be nil

	HeartbeatInterval time.Duration // default DefaultHeartbeatInterval
	// ElectionTimeout is the minimum time without a leader before an election.
	// A random part of up to the same length is added.
	ElectionTimeout time.Duration
	// LearnerTimeout is the time without a leader after which a learner of a
	// memory group, or a member of an epoch without commits, discards its state.
	LearnerTimeout  time.Duration
	SnapshotTimeout time.Duration // to send and install a snapshot
	RequestTimeout  time.Duration // to send a batch of messages; default 3/4 of ElectionTimeout
	// SnapshotEvery is the minimum number of applied entries between snapshots,
	// unless SnapshotBytes is reached.
	SnapshotEvery int
	// SnapshotBytes is the size of the applied entries, in bytes, that triggers
	// a snapshot. The size of the last snapshot counts instead if it is larger.
	SnapshotBytes int
	// LeaseReads lets the leader confirm reads by its lease, without a round
	// trip. It requires a monotonic clock that keeps running while the VM is
	// paused; otherwise a resumed leader may serve stale state.
	LeaseReads bool

	// Dynamic lets slots be added and removed at run time: a member that probes
	// the group is admitted to it, and a voting member that has stopped
	// responding is removed once another one has been admitted in its place.
	// The name of a slot is the address of its member. Members then lists the
	// slots that form the group, and Self need not be one of them.
	Dynamic bool
	// Bootstrap lets a blank member of a dynamic group take part in forming it.
	Bootstrap bool
	// FaultTolerance is the number of members of a dynamic group that may lose their
	// state at the same time without the loss of a committed entry. The group
	// removes no departed member below 2*FaultTolerance+1 voting members once it
	// has that many, and a group that has just been formed accepts no command before
	// it has, for a limited time. Default DefaultFaultTolerance; the wait is then for
	// the members that form the group only.
	FaultTolerance int
}

func (c Config) withDefaults() (Config, error) {
	if c.Clock == nil {
		c.Clock = sys.RealClock{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.PathPrefix == "" {
		c.PathPrefix = "/consensus/v1/" + c.Group
	}
	c.HeartbeatInterval = orDefault(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.ElectionTimeout = orDefault(c.ElectionTimeout, DefaultElectionTimeout)
	c.LearnerTimeout = orDefault(c.LearnerTimeout, DefaultLearnerTimeout)
	c.SnapshotTimeout = orDefault(c.SnapshotTimeout, DefaultSnapshotTimeout)
	c.RequestTimeout = orDefault(c.RequestTimeout, c.ElectionTimeout*3/4)
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.FaultTolerance < 0 || c.FaultTolerance > MaxFaultTolerance {
		return c, trace.BadParameter("consensus: fault tolerance of group %s is %d, want 0 to %d", c.Group, c.FaultTolerance, MaxFaultTolerance)
	}
	if c.Client == nil {
		c.Client = newClient(c.RequestTimeout, true, c.Locations)
	}
	return c, c.validate()
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

func (c Config) validate() error {
	if c.Group == "" || c.Storage == nil || c.StateMachine == nil {
		return trace.BadParameter("consensus: Group, Storage and StateMachine are required")
	}
	if len(c.Members) == 0 || len(c.Members) > maxMembers {
		return trace.BadParameter("consensus: group %s has %d members, want 1 to %d", c.Group, len(c.Members), maxMembers)
	}
	if c.ElectionTimeout < 2*c.HeartbeatInterval {
		return trace.BadParameter("consensus: election timeout %v is less than two heartbeats of %v", c.ElectionTimeout, c.HeartbeatInterval)
	}
	seen := map[string]bool{}
	for _, member := range c.Members {
		if member.Slot == "" || seen[member.Slot] {
			return trace.BadParameter("consensus: slot %q of group %s is empty or listed twice", member.Slot, c.Group)
		}
		seen[member.Slot] = true
	}
	if !seen[c.Self] && !c.Dynamic {
		return trace.BadParameter("consensus: slot %q is not a member of group %s", c.Self, c.Group)
	}
	return nil
}

// awaitedTolerance returns the number of lost members that a group that has just been
// formed must bear before it accepts commands.
func (c Config) awaitedTolerance() int {
	if !c.Dynamic {
		return 0
	}
	return cmp.Or(c.FaultTolerance, (len(c.Members)-1)/2)
}

func (c Config) slots() []string {
	slots := make([]string, 0, len(c.Members))
	for _, member := range c.Members {
		slots = append(slots, member.Slot)
	}
	return slots
}
