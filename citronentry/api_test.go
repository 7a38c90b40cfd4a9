package citronentry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallerAPIRejectsInvalidInput sends invalid requests to the caller API. The
// entry must reject each one with the status that callers rely on, and most also
// with a code, and the upstream must run none of them.
func TestCallerAPIRejectsInvalidInput(t *testing.T) {
	r := newPlainHarness(t, 1, 1)
	cases := []struct {
		name, path, body, key string
		status                int
		code                  string
	}{
		{"unknown service", "/v1/services/nope/requests", `{"customer":"c"}`, "k", 404, "unknown_service"},
		{"unknown customer", "/v1/services/release/requests", `{"customer":"x"}`, "k", 403, "unknown_customer"},
		{"missing idempotency key", "/v1/services/release/requests", `{"customer":"c"}`, "", 400, "missing_idempotency_key"},
		{"malformed body", "/v1/services/release/requests", `{"customer":`, "k", 400, ""},
		{"no time to wait", "/v1/services/release/requests", `{"customer":"c","deadline_ms":0}`, "k", 400, ""},
		{"oversize body", "/v1/services/release/requests", `{"customer":"c","body":"` + strings.Repeat("x", 2<<20) + `"}`, "k", 413, "too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, _ := http.NewRequest(http.MethodPost, "http://"+r.addrs[0]+c.path, strings.NewReader(c.body))
			if c.key != "" {
				req.Header.Set("Idempotency-Key", c.key)
			}
			res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
			is.NoErr(err)
			b, _ := io.ReadAll(res.Body)
			res.Body.Close()
			is.Equal(res.StatusCode, c.status)
			is.True(strings.Contains(string(b), c.code))
			is.Equal(len(r.upstreams[0].plain.Runs()), 0) // nothing ran
		})
	}
}
