package citronpool_test

import "flag"

// CI gives the same verdict every time, so rapid's seed is fixed; try
// others with -rapid.seed=N.
func init() { _ = flag.Set("rapid.seed", "20261203") }
