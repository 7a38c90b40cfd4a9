// Package citronpoison finds the prompt parts that crash engines, so that requests with
// such a part are refused before they reach an engine.
//
// A part may crash every engine that begins to answer a request with it. The requests that
// have it may differ in everything else, so counting the crashes of each request
// (citronquarantine) does not find it. And an engine that crashes takes all its runs with it,
// so counting the crashes of each part would blame parts that many requests share.
//
//	node: engine ends -> Ledger.RecordCrash --Crash--> detecting nodes
//	detecting node:      Ledger.AddCrash -> detect --Record--> all nodes
//	node: request     -> Ledger.Admit: Admitted | Trial | Refused
//	node: run succeeds -> Ledger.RecordSuccess --Record--> all nodes
//
// A few nodes receive the crashes and decide (detect). They rely on three facts. A part that
// crashes engines never runs successfully, so a crash counts only against the parts that have
// not run successfully after it. Each crash has one cause, so the part that explains most
// crashes is chosen first, and the crashes that it explains count against no other part. And
// engines may end by themselves, several at once, so crashes at the same time count as one.
//
// What is decided is a Record of the part, which all nodes share. A quarantined part is tried
// again after a while, by one request in the whole fleet, and released by a successful run.
package citronpoison
