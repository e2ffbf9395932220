package consensus

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/history"
)

// versionMachine holds a version that is changed by compare-and-set.
type versionMachine struct {
	mu      sync.Mutex
	Version uint64
	Made    map[string]uint64 // resulting version of each accepted change, by change ID
}

func (m *versionMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var change history.Change
	if err := cbor.Unmarshal(command, &change); err != nil {
		panic(err)
	}
	if version, ok := m.Made[change.ID]; ok {
		return encode(history.ChangeOutput{Accepted: true, Version: version})
	}
	if change.Base != m.Version {
		return encode(history.ChangeOutput{Version: m.Version})
	}
	m.Version++
	m.Made[change.ID] = m.Version
	return encode(history.ChangeOutput{Accepted: true, Version: m.Version})
}

func (m *versionMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cbor.Marshal(struct {
		Version uint64
		Made    map[string]uint64
	}{m.Version, m.Made})
}

func (m *versionMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Version, m.Made = 0, map[string]uint64{}
	if len(snapshot) == 0 {
		return nil
	}
	return cbor.Unmarshal(snapshot, m)
}

func (m *versionMachine) version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Version
}

// client makes changes and reads on random members until ctx ends.
func (c *cluster) client(ctx context.Context, recorder *history.Recorder, random *rand.Rand, name string, machines func(int) (*Group, *versionMachine)) {
	known := uint64(0)
	change := history.Change{}
	for i := 0; ctx.Err() == nil; i++ {
		group, machine := machines(random.IntN(len(c.nodes)))
		callContext, cancel := context.WithTimeout(ctx, time.Second)
		if group != nil && random.IntN(2) == 0 {
			call := recorder.Invoke(name, "version", history.ReadVersion{})
			barrier := group.ReadBarrier
			if i%2 == 0 {
				barrier = group.ReadBarrierOnHeartbeat
			}
			if barrier(callContext) == nil {
				known = machine.version()
				call.Complete(history.VersionOutput{Version: known})
			} else {
				call.Discard()
			}
		} else if group != nil {
			if change.ID == "" || random.IntN(3) > 0 {
				change = history.Change{ID: fmt.Sprint(name, " ", i), Base: known}
			}
			call := recorder.Invoke(name, "version", change)
			raw, err := group.Propose(callContext, encode(change))
			var output history.ChangeOutput
			switch {
			case err == nil:
				if err := cbor.Unmarshal(raw, &output); err != nil {
					panic(err)
				}
				known = output.Version
				call.Complete(output)
			case !errors.Is(err, ErrUnknownOutcome):
				call.Discard()
			}
		}
		cancel()
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
	}
}

// Guards against lost or repeated changes, stale reads, and errors that wrongly
// report that a command was not proposed, while members that communicate over
// HTTP stop and start.
func TestGroupIsLinearizable(t *testing.T) {
	for _, lease := range []bool{false, true} {
		t.Run(fmt.Sprint("lease reads ", lease), func(t *testing.T) {
			var mu sync.Mutex
			made := map[string]*versionMachine{}
			c := newCluster(t, 3, true, func(config *Config) {
				config.SnapshotEvery = 20
				config.LeaseReads = lease
				machine := &versionMachine{}
				require.NoError(t, machine.Restore(nil))
				config.StateMachine = machine
				mu.Lock()
				made[config.Self] = machine
				mu.Unlock()
			})
			c.waitUntilSettled()
			machines := func(i int) (*Group, *versionMachine) {
				c.nodes[i].mu.Lock()
				defer c.nodes[i].mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				return c.nodes[i].group, made[c.nodes[i].slot]
			}
			recorder := &history.Recorder{}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for i := range 4 {
				wg.Go(func() {
					random := rand.New(rand.NewPCG(uint64(i), 9))
					c.client(ctx, recorder, random, fmt.Sprint("client ", i), machines)
				})
			}
			random := rand.New(rand.NewPCG(1, 1))
			for range 6 {
				i := random.IntN(3)
				c.stop(i)
				c.nodes[i].dir.Crash(random)
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				c.start(i)
				c.waitUntilSettled()
			}
			cancel()
			wg.Wait()
			operations := recorder.Operations()
			t.Logf("%d operations", len(operations))
			require.NotEmpty(t, operations)
			require.NoError(t, history.Check(history.CompareAndSet(), operations))
		})
	}
}
