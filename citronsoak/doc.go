// Package citronsoak is a randomized soak test of real node processes. It starts
// them on loopback with a fake store and fake engines, and injects faults from
// outside by signals and by a proxy in front of the store. From what callers and
// engines observe, it checks that the nodes keep their guarantees and that no kind of
// stream or customer is starved. All
// code is in the test files. TestSoak injects random faults; the other tests add
// a request that crashes engines, a store that is restored from older copies, and
// engines that announce rate limits. The tests of crowds start clients that send too much, stop
// short or do not read, and check that each process stays within its machine.
//
//	go test ./citronsoak                                  short seeded runs
//	go test ./citronsoak -soak.seeds 50 -soak.seconds 20  long runs, started by hand
//	go test ./citronsoak -run TestSoak$ -soak.seed 7      repeat one seed
package citronsoak
