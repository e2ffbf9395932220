package membership

import (
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// transmitFactor scales the number of datagrams that carry a record, which
// grows with the logarithm of the fleet size, so that each record reaches all
// members despite packet loss.
const transmitFactor = 4

// broadcasts is the queue of records still to be sent to other members.
type broadcasts struct {
	items []*broadcast
}

type broadcast struct {
	member Member
	size   int // encoded bytes
	sent   int // datagrams that carried the record
}

// add queues a record and drops queued records of the same member.
func (b *broadcasts) add(m Member) {
	b.items = slices.DeleteFunc(b.items, func(i *broadcast) bool { return i.member.Name == m.Name })
	b.items = append(b.items, &broadcast{member: m, size: encodedSize(m)})
}

// take returns up to count records, least often sent first, that fit into room
// bytes, and counts them as sent. Records that reached the transmit limit are
// dropped from the queue.
func (b *broadcasts) take(room, count, fleetSize int) []Member {
	if len(b.items) == 0 {
		return nil
	}
	slices.SortStableFunc(b.items, func(x, y *broadcast) int { return x.sent - y.sent })
	var taken []Member
	for _, item := range b.items {
		if len(taken) == count {
			break
		}
		if item.size > room {
			continue
		}
		room -= item.size
		item.sent++
		taken = append(taken, item.member)
	}
	limit := transmitLimit(fleetSize)
	b.items = slices.DeleteFunc(b.items, func(i *broadcast) bool { return i.sent >= limit })
	return taken
}

func transmitLimit(fleetSize int) int {
	return transmitFactor * int(math.Ceil(math.Log10(float64(fleetSize+1)))+1)
}

func encodedSize(v any) int {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		panic("membership: record cannot be encoded: " + err.Error())
	}
	return len(encoded)
}
