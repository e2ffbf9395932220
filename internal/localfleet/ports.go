package localfleet

import (
	"fmt"
	"net"

	"github.com/gravitational/trace"
)

// ports reserves addresses. Each process gets a loopback address of its own,
// since the kernel takes source ports of connections on 127.0.0.1 from the same
// range and could hand out the port of a process that is restarting.
type ports struct {
	next int
	held []interface{ Close() error }
}

// host returns the next loopback address.
func (p *ports) host() string {
	p.next++
	return fmt.Sprintf("127.0.%d.%d", 1+p.next/250, 1+p.next%250)
}

func (p *ports) tcp(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.held = append(p.held, l)
	return l.Addr().String(), nil
}

func (p *ports) udp(host string) (string, error) {
	c, err := net.ListenPacket("udp", host+":0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	p.held = append(p.held, c)
	return c.LocalAddr().String(), nil
}

// release frees the ports just before the processes that use them start.
func (p *ports) release() {
	for _, h := range p.held {
		_ = h.Close()
	}
	p.held = nil
}
