// Package citronquarantine keeps requests away from engines that they crash.
//
// A request may crash each engine that begins to run it, and its caller sends it
// again, under another id and to another node. What crashed is known of the
// request by its fingerprint (Print), and all nodes share it (Ledger):
//
//	run begins -> engine ends -> Crashed ----> record ----> Admit: Barred
//	     |                                       ^
//	     +-> run goes well ----> Succeeded ------+
//
// An engine that ends takes all its requests with it, and one of them at most
// caused the crash. So a crash counts only against requests whose run had just begun, it
// takes three engines to bar a request, and whatever runs well is cleared of its
// crash count. A request that is barred is let through again after a
// while, one run at a time; each further crash doubles that while. Barred wrongly
// it is clear after its next run.
package citronquarantine
