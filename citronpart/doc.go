// Package citronpart keeps what the nodes know of prompt parts that crash engines, and decides
// which requests are refused because of it.
//
//	node: engine ends -> Ledger.RecordCrash --Crash--> detecting nodes
//	detecting node:      Ledger.AddCrashes, Detect --Record--> all nodes
//	node: request     -> Ledger.Admit: Admitted | Trial | Refused
//	node: run succeeds -> Ledger.RecordSuccess --Record--> all nodes
//
// A few nodes receive the crashes and decide (citronpoison). What is decided is a Record of the
// part, which all nodes share. A quarantined part is tried again after a while, by one request
// in the whole fleet, and released by a successful run.
package citronpart
