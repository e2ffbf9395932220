package callerconn

import (
	"context"

	"github.com/sequoialane/sequoialane/internal/membudget"
)

// ResponseMemory returns the memory for buffered responses that the guard of the
// connection of a request has.
func ResponseMemory(ctx context.Context) *membudget.Budget {
	if c := connOf(ctx); c != nil {
		return c.guard.Responses
	}
	return unlimited
}
