// Package citronpoison finds the prompt parts that crash engines. It is pure: nodes collect the
// evidence and keep what is found (citronpart).
//
// A part may crash every engine that begins to answer a request with it. The requests that
// have it may differ in everything else, so counting the crashes of each request
// (citronquarantine) does not find it. And an engine that crashes takes all its runs with it,
// so counting the crashes of each part would blame parts that many requests share.
//
// The detection relies on three facts. A part that crashes engines never runs successfully, so
// a crash counts only against the parts that have not run successfully after it. Each crash has
// one cause, so the part that explains most crashes is chosen first, and the crashes that it
// explains count against no other part. And engines may end by themselves, several at once, so
// crashes at the same time count as one. A request that explains as many crashes as any part is
// the likelier cause, and its crashes count against no part.
package citronpoison
