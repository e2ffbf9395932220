// Package fixedseed makes property tests draw the same values in each run. A
// test package imports it for its effect; -rapid.seed still chooses another
// seed.
package fixedseed

import (
	"flag"

	"pgregory.net/rapid"
)

// seed is any fixed value other than 0, which stands for a random seed.
const seed = "1"

// rapid registers its flags when it is initialised, so it must be imported.
var _ = rapid.ID[int]

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("fixedseed: " + err.Error())
	}
	// A failure is reproduced by its seed, so no file is kept beside the test.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
