// Package citronquarantine quarantines requests that crash engines.
//
// A request may crash every engine that starts to run it, and its caller may retry
// it with another ID and at another node. Crashes are therefore counted by the
// fingerprint of the request (Fingerprint), and all nodes share the counts (Ledger):
//
//	run starts -> engine ends -> RecordCrash --> record ----> Admit: Quarantined
//	     |                                       ^
//	     +-> run succeeds -----> RecordSuccess --+
//
// An engine that ends takes all its requests with it, and at most one of them caused
// the crash. A crash therefore counts only against requests that had not yet run
// successfully when the engine ended, three engines have to crash before a request is
// quarantined, and a successful run clears the crash count. A quarantined request is
// admitted again after a while, one run at a time, and each further crash doubles the
// quarantine. A request that is quarantined by mistake is cleared by its next successful
// run.
//
// A suspect is a request under which so many engines have crashed that it is
// quarantined or that one more crash would quarantine it. A trial run is the only run
// of a suspect that a node admits at a time.
package citronquarantine
