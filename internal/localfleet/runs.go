package localfleet

import (
	"errors"
	"io/fs"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// Runs returns how often each idempotency key ran on all simulated upstreams. It
// reads their run files, so it includes runs before a restart and runs on
// upstreams that were killed.
func (f *Fleet) Runs() (map[string]int, error) {
	runs := map[string]int{}
	for _, u := range f.Upstreams {
		raw, err := os.ReadFile(u.runsFile)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		for _, key := range strings.Fields(string(raw)) {
			runs[key]++
		}
	}
	return runs, nil
}
