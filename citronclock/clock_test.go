package citronclock_test

import (
	"context"
	"fmt"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
)

func ExampleManual() {
	c := citronclock.NewManual(time.Unix(0, 0).UTC())
	woke := make(chan struct{})
	go func() {
		_ = c.Sleep(context.Background(), time.Hour)
		close(woke)
	}()
	for done := false; !done; {
		c.Advance(20 * time.Minute)
		select {
		case <-woke:
			done = true
		case <-time.After(time.Millisecond):
		}
	}
	fmt.Println(!c.Now().Before(time.Unix(3600, 0)))
	// Output: true
}
