package freeports

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a port that is assigned twice because the first one was closed
// before the next was reserved.
func TestPortsDiffer(t *testing.T) {
	var p Ports
	defer p.Release()
	host := p.NextHost()
	seen := map[string]bool{}
	for range 200 {
		address, err := p.ReserveTCP(host)
		require.NoError(t, err)
		assert.False(t, seen[address], address)
		seen[address] = true
	}
}

// Guards against two fleets of one process that get the same address, and so may
// get the same port.
func TestHostsDiffer(t *testing.T) {
	var a, b Ports
	assert.NotEqual(t, a.NextHost(), b.NextHost())
}
