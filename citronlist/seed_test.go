package citronlist

import "flag"

// The seed of rapid is fixed so that CI is deterministic. Use -rapid.seed=N to try other
// seeds.
func init() { _ = flag.Set("rapid.seed", "20261203") }
