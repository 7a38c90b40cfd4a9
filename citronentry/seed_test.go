package citronentry_test

import "flag"

// The seed of rapid is fixed so that CI draws the same values every time. The
// entries still run concurrently, so the course of a run may differ. Use
// -rapid.seed=N to try other seeds.
func init() { _ = flag.Set("rapid.seed", "20261202") }
