package citronusage_test

import "flag"

// init fixes rapid's seed, so that rapid draws the same values in every run. Use
// -rapid.seed=N to try another seed.
func init() { _ = flag.Set("rapid.seed", "20261204") }
