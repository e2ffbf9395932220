// Package freeports reserves loopback addresses for processes started by tests
// and demos.
package freeports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Ports reserves ports and keeps them open until Release, so that the kernel does
// not assign one of them twice. Each process should get a loopback address of its
// own: the kernel takes the source ports of connections on 127.0.0.1 from the same
// range and could assign the port of a process that is restarting.
type Ports struct {
	reserved []interface{ Close() error }
}

// hostCount is the number of addresses that NextHost has returned in this process.
var hostCount atomic.Int64

// NextHost returns a loopback address that this process has not got before, and
// hardly another one at the same time: a port that was released could be reserved
// again there before the process that it was for listens on it.
func (p *Ports) NextHost() string {
	n := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+n/250, 1+n%250)
}

// ReserveTCP reserves a TCP port of the loopback address.
func (p *Ports) ReserveTCP(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.reserved = append(p.reserved, l)
	return l.Addr().String(), nil
}

// ReserveUDP reserves a UDP port of the loopback address.
func (p *Ports) ReserveUDP(host string) (string, error) {
	c, err := net.ListenPacket("udp", host+":0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.reserved = append(p.reserved, c)
	return c.LocalAddr().String(), nil
}

// Release closes the reserved ports. It is called just before the processes that
// use them start.
func (p *Ports) Release() {
	for _, h := range p.reserved {
		_ = h.Close()
	}
	p.reserved = nil
}
