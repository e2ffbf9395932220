// Package fixedseed makes rapid property tests use the same seed in each run. A
// test package imports it for its side effect; -rapid.seed overrides the seed.
package fixedseed

import (
	"flag"

	"pgregory.net/rapid"
)

// seed may be any value other than 0, which makes rapid use a random seed.
const seed = "1"

// rapid registers its flags when it is initialised. This reference makes sure that
// it is imported, and so initialised before init below.
var _ = rapid.ID[int]

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("fixedseed: " + err.Error())
	}
	// The seed reproduces a failure, so no fail file is written to the package.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
