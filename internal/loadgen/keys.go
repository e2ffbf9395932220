package loadgen

import (
	"bufio"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// UsedKey is an idempotency key and what became of its request.
type UsedKey struct {
	Key     string
	Outcome string
	Effect  fault.Effect
}

// WriteKeys writes a line "key outcome effect" for each keyed request.
func (g *Generator) WriteKeys(name string) error {
	file, err := os.Create(name)
	if err != nil {
		return trace.Wrap(err)
	}
	defer file.Close()
	w := bufio.NewWriter(file)
	for _, r := range g.results {
		for _, k := range r.keys {
			fmt.Fprintf(w, "%s %s %s\n", k.Key, k.Outcome, k.Effect)
		}
	}
	return trace.Wrap(w.Flush())
}

// ReadKeys reads a file that WriteKeys wrote.
func ReadKeys(name string) ([]UsedKey, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer file.Close()
	var keys []UsedKey
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var k UsedKey
		if _, err := fmt.Sscan(lines.Text(), &k.Key, &k.Outcome, &k.Effect); err != nil {
			return nil, trace.Wrap(err)
		}
		keys = append(keys, k)
	}
	return keys, trace.Wrap(lines.Err())
}
