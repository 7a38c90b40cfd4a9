// Package design describes citrondeck's caller API for goa. The code under
// gen/ is generated from it with `goa gen citrondeck.dev/citrondeck/design` and
// committed, so the build needs no generator.
package design

import (
	. "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports goa's DSL is written with a dot import
)

var _ = API("citrondeck", func() {
	Title("citrondeck caller API")
	Description("Submit requests to model and plain services; learn which entries to use.")
	Server("entry", func() {
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
})

// Refusal is the body of error responses: a stable code, a message, and how long
// to wait before a retry. There are two exceptions. A request that does not match
// this API description gets goa's own error body. A request whose declared length
// is over the limit gets a body with only the code too_large and a message.
var Refusal = Type("Refusal", func() {
	Attribute("code", String, "Stable error code", func() {
		Meta("struct:error:name")
		Enum("bad_request", "unknown_service", "unknown_customer", "missing_idempotency_key",
			"not_run", "outcome_unknown", "in_progress", "too_large", "draining", "overloaded")
	})
	Attribute("message", String, "What happened, for a person")
	Attribute("retry_after", Int, "Seconds to wait before asking again; 0 when asking again will not help")
	Attribute("idempotency_key", String, "The key to ask again with, when the outcome is unknown")
	Attribute("request_id", String, "The entry's id of the request")
	Required("code", "message")
})

// SubmitPayload is one request of a caller.
var SubmitPayload = Type("SubmitPayload", func() {
	Attribute("service", String, "Service name from the fleet text")
	Attribute("customer", String, "Customer name from the fleet text")
	Attribute("priority", Int, "Higher runs first when engines are short", func() { Default(0) })
	Attribute("prompt", String, "Prompt for a model service")
	Attribute("max_tokens", Int, "Tokens to generate (model services)", func() {
		Default(8)
		Minimum(1)
		Maximum(4096)
	})
	Attribute("body", String, "Body for a plain service")
	Attribute("idempotency_key", String, "Required for non-idempotent services")
	Attribute("deadline_ms", Int, "Time the caller will wait, in milliseconds", func() {
		Default(30000)
		Minimum(1)
		Maximum(3600000)
	})
	Required("service", "customer")
})

// TokenEvent is one event of a stream. The offsets of tokens start at 0 and rise
// by 1, and the offset of a done event is the number of tokens, so a caller can
// tell a complete answer from a truncated one.
var TokenEvent = Type("TokenEvent", func() {
	Attribute("type", String, "token, done or failed", func() { Enum("token", "done", "failed") })
	Attribute("offset", Int, "Position of the token; in done, how many tokens the answer has")
	Attribute("token", String, "The token (type token)")
	Attribute("request_id", String, "The entry's id of the request")
	Attribute("code", String, "Stable error code (type failed)")
	Attribute("message", String, "What happened, for a person (type failed)")
	Attribute("retry_after", Int, "Seconds to wait before asking again (type failed)")
	Required("type", "offset", "request_id")
})

// refusalStatuses sets the HTTP status of each refusal. Refusals after which a
// retry may succeed also have a Retry-After header.
func refusalStatuses() {
	Response("bad_request", StatusBadRequest)
	Response("unknown_service", StatusNotFound)
	Response("unknown_customer", StatusForbidden)
	Response("missing_idempotency_key", StatusBadRequest)
	Response("not_run", StatusServiceUnavailable, func() { Header("retry_after:Retry-After") })
	Response("outcome_unknown", StatusBadGateway, func() { Header("retry_after:Retry-After") })
	Response("in_progress", StatusConflict, func() { Header("retry_after:Retry-After") })
	Response("draining", StatusServiceUnavailable, func() { Header("retry_after:Retry-After") })
	Response("overloaded", StatusServiceUnavailable, func() { Header("retry_after:Retry-After") })
}

var _ = Service("deck", func() {
	Description("The caller API of an entry.")

	Error("bad_request", Refusal)
	Error("unknown_service", Refusal)
	Error("unknown_customer", Refusal)
	Error("missing_idempotency_key", Refusal)
	Error("not_run", Refusal)
	Error("outcome_unknown", Refusal)
	Error("in_progress", Refusal)
	Error("draining", Refusal)
	Error("overloaded", Refusal)

	Method("submit", func() {
		Description("Run one request on a service and return its whole answer.")
		Payload(SubmitPayload)
		Result(func() {
			Attribute("request_id", String, "The entry's id of the request")
			Attribute("outcome", String, "served, or replayed when a known idempotency key's stored answer is returned", func() {
				Enum("served", "replayed")
			})
			Attribute("tokens", ArrayOf(String), "The generated tokens, in order (model services)")
			Attribute("result", String, "The upstream's answer (plain services)")
			Attribute("entry", String, "The entry that served the request")
			Attribute("attempts", Int, "Stage attempts used; more than the stage count means a stage was replaced")
			Attribute("revision", Int64, "Fleet configuration revision the request was routed under")
			Required("request_id", "outcome", "entry")
		})
		HTTP(func() {
			POST("/v1/services/{service}/requests")
			Header("idempotency_key:Idempotency-Key")
			Response(StatusOK)
			refusalStatuses()
		})
	})

	Method("stream", func() {
		Description("Run one request on an idempotent model service and send each token as it is generated, as server-sent events. The last event is of type done or failed.")
		Payload(SubmitPayload)
		StreamingResult(TokenEvent)
		HTTP(func() {
			POST("/v1/services/{service}/streams")
			Header("idempotency_key:Idempotency-Key")
			ServerSentEvents(func() { SSEEventType("type") })
			Response(StatusOK)
			refusalStatuses()
		})
	})

	Method("entries", func() {
		Description("Which entry addresses to use, nearest zone first, and how long to keep the answer.")
		Payload(func() {
			Attribute("zone", String, "The caller's zone, to order entries nearest first")
		})
		Result(func() {
			Attribute("entries", ArrayOf(EntryAddr), "Entries to use, nearest first")
			Attribute("ttl_seconds", Int, "How long the caller may keep this answer")
			Attribute("revision", Int64, "Fleet configuration revision that is active at this entry")
			Required("entries", "ttl_seconds")
		})
		HTTP(func() {
			GET("/v1/entries")
			Param("zone")
			Response(StatusOK)
		})
	})
})

// EntryAddr is the name, address and zone of one entry that a caller may use.
var EntryAddr = Type("EntryAddr", func() {
	Attribute("name", String)
	Attribute("addr", String, "host:port")
	Attribute("zone", String)
	Required("name", "addr", "zone")
})
