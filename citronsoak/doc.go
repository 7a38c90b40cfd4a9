// Package citronsoak is a randomized soak of real node processes: it starts
// them on loopback before stand-ins of the store and of engines, injects
// faults from outside by signals and by a proxy before the store, and checks
// from what callers and engines see that the promises hold meanwhile. All of
// it is in its test files. TestSoak draws faults; three more add a request that
// crashes engines, a store that returns from older copies, and engines that name rate
// limits.
//
//	go test ./citronsoak                                  short seeded runs
//	go test ./citronsoak -soak.seeds 50 -soak.seconds 20  by hand
//	go test ./citronsoak -run TestSoak$ -soak.seed 7      one seed again
package citronsoak
