package citronsoak_test

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

// oddValues holds values, as JSON, that no engine writes into the fields of its entry.
var oddValues = map[string][]string{
	"address":    {`"127.0.0.1:0"`, `"127.0.0.1:65536"`, `"127.0.0.1:-1"`, `"127.0.0.1:10000000000000000000"`, `"[::1]:99999"`, `""`, `8080`},
	"slotCount":  {`1e400`, `9223372036854775807`, `9223372036854775808`, `-1`, `1.5`},
	"coldLeftMs": {`1e308`, `1e400`, `-1e308`},
	"sequence":   {`9223372036854775808`, `-9223372036854775809`, `1e30`},
	"born":       {`9223372036854775807`, `1e18`, `1e400`, `-1`, `[]`},
	"layers":     {`{"from":0,"target":65536}`, `{"from":0,"target":9223372036854775807}`, `{"from":-9223372036854775808,"target":4}`, `{"from":3,"target":100}`, `{"from":100,"target":200}`, `{"from":0,"target":1e400}`, `[[]]`},
	"models":     {strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000), strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000)},
	"kind":       {`"\u0000"`, `"unknown"`, `1`},
}

// writeEntry writes an entry with the given fields, as JSON.
func (w *world) writeEntry(name string, fields map[string]string) {
	parts := make([]string, 0, len(fields))
	for field, value := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", field, value))
	}
	w.writeRaw(name, "{"+strings.Join(parts, ",")+"}")
}

func (w *world) writeRaw(name, text string) {
	if _, err := w.store.Put(context.Background(), "servers/"+name, []byte(text), citronkv.AnyRevision, 0); err != nil {
		w.t.Fatal(err)
	}
}

// Guards against nodes that end, or no longer follow the list of engines, because another writer
// has left odd entries there.
func TestNodesFollowListWithOddEntries(t *testing.T) {
	w := newWorld(t, build(t))
	w.waitUntilServing(startTimeout, "at the start")
	entry := func(service string) map[string]string {
		fields := map[string]string{"service": strconv.Quote(service), "address": `"127.0.0.1:1"`, "zone": `"z"`, "version": `"v1"`, "slotCount": "64", "state": `"ready"`, "coldLeftMs": "0", "sequence": "1", "born": "17"}
		if service == "model" {
			fields["kind"], fields["layers"] = `"card"`, `{"from":0,"target":0}`
		}
		return fields
	}
	for field, values := range oddValues {
		for i, value := range values {
			fields := maps.Clone(entry("model"))
			fields[field] = value
			w.writeEntry(fmt.Sprintf("odd-%s-%d", field, i), fields)
		}
	}
	for i, text := range []string{"", "null", "[]", "\xff\xfe\x00", strings.Repeat("{", 1000), `{"service":`, "{}"} {
		w.writeRaw(fmt.Sprintf("odd-text-%d", i), text)
	}
	time.Sleep(time.Second) // nodes read the entries
	w.waitUntilServing(recoverTimeout, "with odd entries")

	// A new configuration and new engines are followed, and one whose entry was overwritten.
	overwritten := w.removeOldest("app")
	fields := entry("app")
	fields["born"] = "9223372036854775806"
	w.writeEntry(overwritten.id, fields)
	time.Sleep(time.Second)
	overwritten.register()
	w.removeOldest("model").leave()
	w.addEngine("model", "card")
	w.addEngine("app", "")
	w.removeOldest("app").leave()
	w.writeNextConfig()
	w.waitUntilServing(recoverTimeout, "after the odd entries")
	w.mu.Lock()
	others := w.engines["app"]
	w.mu.Unlock()
	for _, e := range others {
		e.leave()
	}
	time.Sleep(4 * time.Second)
	w.waitUntilServing(recoverTimeout, "by the engine whose entry was overwritten")
}
