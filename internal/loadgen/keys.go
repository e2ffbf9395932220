package loadgen

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// UsedKey is an idempotency key with the outcome of its request.
type UsedKey struct {
	Key     string
	Outcome string
	Effect  fault.Effect   // of the last attempt
	Effects []fault.Effect // of all attempts, resends included; empty if none was made
}

// WriteKeys writes one line for each keyed request to the named file:
// "key outcome effect [effects of all attempts]".
func (g *Generator) WriteKeys(name string) error {
	file, err := os.Create(name)
	if err != nil {
		return trace.Wrap(err)
	}
	defer file.Close()
	w := bufio.NewWriter(file)
	for _, r := range g.results {
		for _, k := range r.keys {
			fmt.Fprintf(w, "%s %s %s [%s]\n", k.Key, k.Outcome, k.Effect, joinEffects(k.Effects))
		}
	}
	return trace.Wrap(w.Flush())
}

// ReadKeys reads a file written by WriteKeys.
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
		var effects string
		if _, err := fmt.Sscan(lines.Text(), &k.Key, &k.Outcome, &k.Effect, &effects); err != nil {
			return nil, trace.Wrap(err)
		}
		k.Effects = splitEffects(effects)
		keys = append(keys, k)
	}
	return keys, trace.Wrap(lines.Err())
}

func joinEffects(list []fault.Effect) string {
	var parts []string
	for _, e := range list {
		parts = append(parts, string(e))
	}
	return strings.Join(parts, ",")
}

// splitEffects parses a comma-separated list in brackets.
func splitEffects(text string) []fault.Effect {
	var list []fault.Effect
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune("[],", r) }) {
		list = append(list, fault.Effect(part))
	}
	return list
}
