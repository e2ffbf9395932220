package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testKey = []byte("fleet-token")

// fleet runs many tables on a simulated network with a seeded random source.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	nodes  map[string]*Table // by gossip address
	order  []string          // gossip addresses in order of start
	queue  []delivery
	loss   float64
	cut    map[[2]string]bool // one-way cuts, from and to
	down   map[string]bool
	sent   int
	bytes  int
	serial uint64
}

type delivery struct {
	from, to string
	payload  []byte
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		now:   time.Unix(1_700_000_000, 0),
		nodes: map[string]*Table{},
		cut:   map[[2]string]bool{},
		down:  map[string]bool{},
	}
	for i := range n {
		f.start(i)
	}
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (f *fleet) start(i int) *Table {
	f.serial++
	at := address(i)
	self := Member{
		Name: fmt.Sprintf("entry-%d", i), Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("dc%d", i%6),
		CallerAddress: at, PeerAddress: at, GossipAddress: at, Incarnation: 1000 + f.serial, State: Alive,
	}
	table := NewTable(self, testKey, rand.New(rand.NewPCG(uint64(i), f.serial)), f.now)
	if f.nodes[at] == nil {
		f.order = append(f.order, at)
	}
	f.nodes[at] = table
	delete(f.down, at)
	if i > 0 && f.nodes[address(0)] != nil {
		f.exchange(table, f.nodes[address(0)])
	}
	return table
}

func (f *fleet) exchange(a, b *Table) {
	reply, err := b.HandleExchange(f.now, a.StartExchange())
	if err != nil {
		panic(err)
	}
	push, err := a.FinishExchange(f.now, reply)
	if err != nil {
		panic(err)
	}
	if _, err := b.HandleExchange(f.now, push); err != nil {
		panic(err)
	}
}

func (f *fleet) send(from string, packets []Packet) {
	for _, p := range packets {
		f.sent++
		f.bytes += len(p.Payload)
		if len(p.Payload) > MaxPacket {
			panic("packet too large")
		}
		if f.cut[[2]string{from, p.To}] || f.rng.Float64() < f.loss {
			continue
		}
		f.queue = append(f.queue, delivery{from, p.To, p.Payload})
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickPeriod) {
		for _, at := range f.order {
			if !f.down[at] {
				f.send(at, f.nodes[at].Tick(f.now))
			}
		}
		for len(f.queue) > 0 {
			next := f.queue[0]
			f.queue = f.queue[1:]
			if f.down[next.to] || f.nodes[next.to] == nil {
				continue
			}
			out, err := f.nodes[next.to].Receive(f.now, next.payload)
			if err != nil {
				panic(err)
			}
			f.send(next.to, out)
		}
	}
}

func (f *fleet) stateSeenBy(viewer, subject int) State {
	m, ok := f.nodes[address(viewer)].Member(fmt.Sprintf("entry-%d", subject))
	if !ok {
		return "absent"
	}
	return m.State
}

// Guards against live members being declared dead under packet loss.
func TestPacketLossKeepsMembersAlive(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 40)
		f.loss = 0.1
		deaths := 0
		for range 600 {
			f.run(200 * time.Millisecond)
			for _, at := range f.order {
				for _, m := range f.nodes[at].Members() {
					if m.State == Dead {
						deaths++
					}
				}
			}
		}
		assert.Zero(t, deaths, "seed %d", seed)
	}
}

// Guards against a killed member that is not declared dead by all members within
// 20 s.
func TestKilledMemberIsDeclaredDeadByAll(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 44)
		f.loss = 0.02
		f.run(5 * time.Second)
		f.down[address(7)] = true
		f.run(20 * time.Second)
		for i := range 44 {
			if i != 7 {
				assert.Equal(t, Dead, f.stateSeenBy(i, 7), "seed %d viewer %d", seed, i)
			}
		}
	}
}

// Guards against a one-way cut between two members making either of them dead
// in the view of the fleet: indirect probes have to bypass the cut.
func TestIndirectProbesBypassOneWayCut(t *testing.T) {
	f := newFleet(3, 20)
	f.cut[[2]string{address(1), address(2)}] = true
	for range 300 {
		f.run(200 * time.Millisecond)
		for i := range 20 {
			require.NotEqual(t, Dead, f.stateSeenBy(i, 1))
			require.NotEqual(t, Dead, f.stateSeenBy(i, 2))
		}
	}
}

// Guards against the two sides of a healed partition never merging again.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(4, 20)
	f.run(3 * time.Second)
	for i := range 10 {
		for j := 10; j < 20; j++ {
			f.cut[[2]string{address(i), address(j)}] = true
			f.cut[[2]string{address(j), address(i)}] = true
		}
	}
	f.run(60 * time.Second)
	require.Equal(t, Dead, f.stateSeenBy(0, 15))
	f.cut = map[[2]string]bool{}
	f.run(60 * time.Second)
	for i := range 20 {
		for j := range 20 {
			assert.Equal(t, Alive, f.stateSeenBy(i, j), "viewer %d subject %d", i, j)
		}
	}
}

// Guards against records of a member's previous incarnation hiding the
// restarted member.
func TestRestartReplacesTheOldIncarnation(t *testing.T) {
	f := newFleet(5, 20)
	f.loss = 0.05
	f.run(3 * time.Second)
	f.down[address(9)] = true
	f.run(20 * time.Second)
	require.Equal(t, Dead, f.stateSeenBy(0, 9))
	restarted := f.start(9)
	f.run(10 * time.Second)
	for i := range 20 {
		m, _ := f.nodes[address(i)].Member("entry-9")
		assert.Equal(t, Alive, m.State)
		assert.Equal(t, restarted.Self().Incarnation, m.Incarnation)
	}
}

// Guards against a draining member becoming usable again when it is suspected,
// and against a member that left being probed or revived.
func TestDrainAndLeave(t *testing.T) {
	f := newFleet(6, 20)
	f.run(3 * time.Second)
	f.send(address(4), f.nodes[address(4)].Drain())
	f.run(3 * time.Second)
	for i := range 20 {
		require.Equal(t, Draining, f.stateSeenBy(i, 4))
	}
	table := f.nodes[address(0)]
	doubted, _ := table.Member("entry-4")
	doubted.State = Suspect
	table.merge(doubted, f.now)
	doubted, _ = table.Member("entry-4")
	assert.False(t, doubted.Usable())
	f.run(5 * time.Second)
	assert.Equal(t, Draining, f.stateSeenBy(0, 4))
	f.send(address(4), f.nodes[address(4)].Leave())
	f.down[address(4)] = true
	f.run(30 * time.Second)
	for i := range 20 {
		if i != 4 {
			assert.Equal(t, Left, f.stateSeenBy(i, 4))
		}
	}
}

// Guards against the highest catalog version reaching entries late, and
// against the version of a dead process staying the highest one.
func TestCatalogVersionSpreads(t *testing.T) {
	f := newFleet(7, 44)
	f.run(3 * time.Second)
	f.nodes[address(3)].SetCatalogVersion(99)
	f.run(6 * time.Second)
	for i := range 44 {
		m, _ := f.nodes[address(i)].Member("entry-3")
		assert.EqualValues(t, 99, m.CatalogVersion, "viewer %d", i)
	}
	f.down[address(3)] = true
	f.run(30 * time.Second)
	assert.Zero(t, f.nodes[address(0)].currentHighest().Version)
}

// Guards against a reachable data centre without contact for longer than
// the 10 s of the freshness rule.
func TestEveryDataCentreIsHeard(t *testing.T) {
	f := newFleet(8, 60)
	f.run(15 * time.Second)
	for range 30 {
		f.run(time.Second)
		for _, at := range f.order {
			contacts := f.nodes[at].LastContact()
			require.Len(t, contacts, 6)
			for centre, last := range contacts {
				require.Less(t, f.now.Sub(last), 10*time.Second, centre)
			}
		}
	}
}

// Guards against an isolation that other members do not learn, or that is lost
// when the member is suspected.
func TestIsolationSpreads(t *testing.T) {
	f := newFleet(9, 20)
	f.run(3 * time.Second)
	before := f.nodes[address(0)].Epoch()
	f.send(address(2), f.nodes[address(2)].SetIsolated(true))
	f.run(4 * time.Second)
	m, _ := f.nodes[address(0)].Member("entry-2")
	assert.False(t, m.Usable())
	assert.Greater(t, f.nodes[address(0)].Epoch(), before)
}
