package citronloan_test

import (
	"fmt"

	"citrondeck.dev/citrondeck/citronloan"
)

func ExampleRetriesPerLender() {
	for _, waiting := range []int{1, 3, 4, 10, 100} {
		fmt.Printf("%d waiting: 3 loans of %d\n", waiting, citronloan.RetriesPerLender(waiting, 3))
	}
	// Output:
	// 1 waiting: 3 loans of 1
	// 3 waiting: 3 loans of 1
	// 4 waiting: 3 loans of 2
	// 10 waiting: 3 loans of 4
	// 100 waiting: 3 loans of 4
}
