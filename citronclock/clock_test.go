package citronclock_test

import (
	"context"
	"fmt"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
)

// The goroutine may begin to sleep only after some calls of Advance, so the clock is
// advanced until the goroutine wakes.
func ExampleManual() {
	c := citronclock.NewManual(time.Unix(0, 0).UTC())
	awake := make(chan struct{})
	go func() {
		_ = c.Sleep(context.Background(), time.Hour)
		close(awake)
	}()
	for done := false; !done; {
		c.Advance(20 * time.Minute)
		select {
		case <-awake:
			done = true
		case <-time.After(time.Millisecond):
		}
	}
	fmt.Println(!c.Now().Before(time.Unix(3600, 0)))
	// Output: true
}
