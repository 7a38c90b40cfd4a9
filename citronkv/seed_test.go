package citronkv_test

import "flag"

// The seed of rapid is fixed so that runs in CI are reproducible. Use
// -rapid.seed=N to run with another seed.
func init() { _ = flag.Set("rapid.seed", "20261202") }
