package citronplace_test

import "flag"

// rapid's seed is fixed so that CI draws the same values every time. The engines
// that a drawn index stands for may still differ, because fleet returns them in
// varying order. Use -rapid.seed=N to try other seeds.
func init() { _ = flag.Set("rapid.seed", "20261202") }
