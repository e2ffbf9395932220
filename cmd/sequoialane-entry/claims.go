package main

import (
	"net/http"

	"github.com/samber/do/v2"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// claimParts are the claims client of this entry and its group members.
type claimParts struct {
	client   claims.Client
	leases   claims.Leases
	handlers map[string]http.Handler // of the peer port, by pattern
	ready    chan struct{}
}

// Ready implements entry.ClaimMembers.
func (c *claimParts) Ready() <-chan struct{} { return c.ready }

// Stop implements entry.ClaimMembers.
func (c *claimParts) Stop() {}

func newClaims(i do.Injector) (*claimParts, error) {
	l := do.MustInvoke[loaded](i)
	ready := make(chan struct{})
	close(ready)
	memory := claims.NewMemory(do.MustInvoke[sys.Clock](i), limits(l))
	return &claimParts{client: memory, leases: memory, ready: ready}, nil
}
