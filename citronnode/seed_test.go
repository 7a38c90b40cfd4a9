package citronnode

import "flag"

// The seed of rapid is fixed so that CI gives the same verdict every time. Use
// -rapid.seed=N to try another one.
func init() { _ = flag.Set("rapid.seed", "20261202") }
