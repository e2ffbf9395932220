package claims

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/sequoialane/sequoialane/internal/membership"
)

// ErrNotHolder is returned if the attempt does not hold the claim. The call had no
// effect and is not retried.
var ErrNotHolder = errors.New("claims: attempt does not hold the claim")

func notHolderError(c command, o outcome) error {
	return fmt.Errorf("%w: claim state %s, attempt %s", ErrNotHolder, o.State, c.Attempt)
}

// HolderName returns the holder name of one incarnation of an entry.
func HolderName(entry string, incarnation uint64) string {
	return entry + "/" + strconv.FormatUint(incarnation, 10)
}

// HolderDead reports whether the membership shows that the incarnation of the
// entry in the holder name has ended. An entry that is not among the members is
// not known to be dead, so HolderDead reports false.
func HolderDead(members []membership.Member, holder string) bool {
	slash := strings.LastIndexByte(holder, '/')
	if slash < 0 {
		return false
	}
	incarnation, err := strconv.ParseUint(holder[slash+1:], 10, 64)
	if err != nil {
		return false
	}
	for _, m := range members {
		if m.Name != holder[:slash] {
			continue
		}
		if m.Incarnation > incarnation {
			return true
		}
		return m.Incarnation == incarnation && (m.State == membership.Dead || m.State == membership.Left)
	}
	return false
}
