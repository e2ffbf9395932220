// Package traffic counts the bytes that a process exchanges over its outgoing
// connections, by what they are for and by how far they go. Traffic between data
// centres and regions is billed by volume, so an operator needs to see what
// causes it.
package traffic

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// Cause is what bytes are for.
type Cause string

// The causes of traffic.
const (
	Request   Cause = "request"  // requests of callers, to targets
	Grant     Cause = "grant"    // grants by the owners of groups
	Release   Cause = "release"  // outcomes, reported to owners
	Evidence  Cause = "evidence" // estimates, between owners
	Quota     Cause = "quota"    // credit for the requests of tenants
	Poll      Cause = "poll"     // the state, from control members to entries
	Consensus Cause = "consensus"
	Other     Cause = "other"
)

// Distance is how far bytes go.
type Distance string

// The distances.
const (
	SameDataCentre Distance = "same_data_centre"
	SameRegion     Distance = "same_region" // another data centre of the region
	OtherRegion    Distance = "other_region"
	Unknown        Distance = "unknown" // the place of the peer is not known
)

// Locations knows the data centres of peers. It is safe for concurrent use.
type Locations struct {
	dataCentre string
	regions    map[string]string // by data centre
	places     atomic.Pointer[map[string]string]
}

// NewLocations returns the locations as seen from a data centre. regions maps
// data centres to regions.
func NewLocations(dataCentre string, regions map[string]string) *Locations {
	l := &Locations{dataCentre: dataCentre, regions: regions}
	l.places.Store(&map[string]string{})
	return l
}

// Update replaces the data centres by address (IP address and port). The map must
// not be changed afterwards.
func (l *Locations) Update(places map[string]string) { l.places.Store(&places) }

// Distance returns the distance to the address.
func (l *Locations) Distance(address string) Distance {
	place := (*l.places.Load())[address]
	switch {
	case place == "":
		return Unknown
	case place == l.dataCentre:
		return SameDataCentre
	case l.regions[place] == l.regions[l.dataCentre]:
		return SameRegion
	default:
		return OtherRegion
	}
}

// Conn is a connection that counts its bytes.
type Conn struct {
	net.Conn
	address   string
	locations *Locations // nil: all distances are unknown

	mu       sync.Mutex
	cause    Cause
	distance Distance
	counters atomic.Pointer[counters]
}

type counters struct {
	sent, received *metrics.Counter
	located        bool // the distance is known
}

// NewConn returns a connection to the address that counts the bytes of inner.
func NewConn(inner net.Conn, address string, locations *Locations, cause Cause) *Conn {
	c := &Conn{Conn: inner, address: address, locations: locations}
	c.Attribute(cause)
	return c
}

// Attribute sets what the following bytes are for.
func (c *Conn) Attribute(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	distance := Unknown
	if c.locations != nil {
		distance = c.locations.Distance(c.address)
	}
	if c.counters.Load() != nil && cause == c.cause && distance == c.distance {
		return
	}
	c.cause, c.distance = cause, distance
	labels := `{cause="` + string(cause) + `",distance="` + string(distance) + `",direction="`
	c.counters.Store(&counters{
		sent:     metrics.GetOrCreateCounter("sequoialane_traffic_bytes_total" + labels + `sent"}`),
		received: metrics.GetOrCreateCounter("sequoialane_traffic_bytes_total" + labels + `received"}`),
		located:  distance != Unknown,
	})
}

func (c *Conn) currentCause() Cause {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Load().received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.counters.Load().located {
		c.Attribute(c.currentCause()) // the peer may be known by now
	}
	n, err := c.Conn.Write(p)
	c.counters.Load().sent.Add(n)
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountDials returns a DialFunc whose connections count their bytes for the
// cause, until a context of Attribute names another one.
func CountDials(dial DialFunc, locations *Locations, cause Cause) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw, address, locations, cause), nil
	}
}

// Attribute returns a context for an HTTP call whose connection then counts the
// bytes for the cause. It has no effect on connections of other dialers.
func Attribute(ctx context.Context, cause Cause) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Attribute(cause)
		}
	}})
}
