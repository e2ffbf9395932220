package fleetstate

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a command that ends each control member, again at each start,
// because it cannot be decoded.
func TestUnreadableCommandChangesNothing(t *testing.T) {
	m := NewStateMachine()
	entry := Entry{Name: "e", Region: "r", DataCentre: "d", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", State: Serving}
	m.Apply(1, Command{Entries: []Entry{entry}}.Encode())
	before, err := m.Snapshot()
	require.NoError(t, err)
	for _, raw := range []string{"", "x", `{"entries":7}`, `{"targets":[{"slots":"many"}]}`} {
		result, err := DecodeResult(m.Apply(2, []byte(raw)))
		require.NoError(t, err)
		assert.Zero(t, result.Version)
	}
	after, err := m.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, string(before), string(after))
}

// Guards against records from malformed polls, which callers would get as
// addresses.
func TestEntryValidate(t *testing.T) {
	good := Entry{Name: "e", Region: "r", DataCentre: "d", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", State: Serving}
	require.NoError(t, good.Validate())
	for desc, change := range map[string]func(*Entry){
		"no name":             func(e *Entry) { e.Name = "" },
		"no data centre":      func(e *Entry) { e.DataCentre = "" },
		"no caller address":   func(e *Entry) { e.CallerAddress = "" },
		"address is no IP":    func(e *Entry) { e.PeerAddress = "somewhere:1" },
		"unknown state":       func(e *Entry) { e.State = "x" },
		"lost, by its own":    func(e *Entry) { e.State = Lost },
		"caller without port": func(e *Entry) { e.CallerAddress = "10.0.0.1" },
	} {
		e := good
		change(&e)
		assert.Error(t, e.Validate(), desc)
	}
}
