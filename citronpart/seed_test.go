package citronpart_test

import "flag"

// init fixes rapid's seed so that CI runs are reproducible. Use -rapid.seed=N to try
// another seed.
func init() { _ = flag.Set("rapid.seed", "20261203") }
