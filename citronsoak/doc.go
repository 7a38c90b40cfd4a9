// Package citronsoak is a randomized soak of real node processes: it starts
// them on loopback before stand-ins of the store and of engines, injects
// faults from outside by signals and by a proxy before the store, and checks
// from what callers and engines see that the promises hold meanwhile. All of
// it is in its test files.
//
//	go test ./citronsoak                                  one short seeded run
//	go test ./citronsoak -soak.seeds 50 -soak.seconds 20  by hand
//	go test ./citronsoak -soak.seed 7                     one seed again
package citronsoak
