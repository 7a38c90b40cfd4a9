package citronroute_test

import "flag"

// rapid's seed is fixed so that CI gives the same verdict every time. Use
// -rapid.seed=N to try other seeds.
func init() { _ = flag.Set("rapid.seed", "20261202") }
