package citronbudget_test

import "flag"

// init fixes rapid's seed, so that CI gives the same verdict for the same
// code. Run with -rapid.seed=N to try other seeds.
func init() { _ = flag.Set("rapid.seed", "20261202") }
