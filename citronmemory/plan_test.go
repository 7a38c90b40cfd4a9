package citronmemory_test

import (
	"fmt"

	"citrondeck.dev/citrondeck/citronmemory"
)

func ExamplePlanFor() {
	for _, megabytes := range []int64{128, 184, 284, 1048} {
		p := citronmemory.PlanFor(megabytes << 20)
		fmt.Printf("%d MB: runtime %d, of that clients %d, answers %d\n", megabytes, p.Runtime>>20, p.Clients>>20, p.Answers>>20)
	}
	// Output:
	// 128 MB: runtime 88, of that clients 50, answers 5
	// 184 MB: runtime 144, of that clients 104, answers 7
	// 284 MB: runtime 244, of that clients 200, answers 11
	// 1048 MB: runtime 917, of that clients 768, answers 43
}
