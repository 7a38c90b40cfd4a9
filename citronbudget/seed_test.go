package citronbudget_test

import "flag"

// init fixes rapid's seed, so that rapid draws the same values in every run. Use
// -rapid.seed=N to try another seed. The budget itself rounds allowances with an
// unseeded random generator, so results may still differ between runs.
func init() { _ = flag.Set("rapid.seed", "20261202") }
