package membership

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func sampleMember() Member {
	return Member{
		Name: "entry-1", Region: "north", DataCentre: "north-a", CallerAddress: "10.0.0.1:80",
		PeerAddress: "10.0.0.1:81", GossipAddress: "10.0.0.1:82", Incarnation: 5, State: Alive,
	}
}

// Guards against accepting a datagram that is malformed or does not come from
// the fleet.
func TestOpenRejectsInvalidDatagrams(t *testing.T) {
	good, err := seal(testKey, message{Kind: kindPing, From: sampleMember()})
	require.NoError(t, err)
	tampered := append([]byte{}, good...)
	tampered[len(tampered)-1] ^= 1
	nameless := sampleMember()
	nameless.Name = ""
	unnamed, err := seal(testKey, message{Kind: kindPing, From: nameless})
	require.NoError(t, err)
	otherKind, err := seal(testKey, message{Kind: 77, From: sampleMember()})
	require.NoError(t, err)
	cases := []struct {
		desc string
		raw  []byte
		want error
	}{
		{"good", good, nil},
		{"empty", nil, ErrPacketSize},
		{"too large", make([]byte, MaxPacket+1), ErrPacketSize},
		{"tampered", tampered, ErrPacketAuth},
		{"no name", unnamed, ErrMalformed},
		{"unknown kind", otherKind, ErrMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := open(testKey, tc.raw)
			assert.ErrorIs(t, err, tc.want)
		})
	}
}

// Guards against a panic on a datagram from an authenticated but faulty sender,
// and against the decoder accepting records that the table cannot store.
func FuzzDecodeMessage(f *testing.F) {
	seed, err := cbor.Marshal(message{Kind: kindAck, From: sampleMember(), Updates: []Member{sampleMember()}})
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decodeMessage(raw)
		if err != nil {
			return
		}
		assert.True(t, valid(m.From))
		assert.LessOrEqual(t, len(m.Updates), maxUpdates)
		_, err = seal(testKey, m)
		assert.NoError(t, err)
	})
}
