package citronpeer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"github.com/matryer/is"
)

// A node stands still for a moment, and all others come with what they know of
// the whole fleet. It must not hold all of that at once: a node with 184 MB was
// killed for it. Those it has no place for are turned away unread, and news,
// which is small, still gets through.
func TestFloodOfExchangesIsBounded(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	var serving, most atomic.Int64
	release := make(chan struct{})
	a := held{exchange: func() {
		if n := serving.Add(1); n > most.Load() {
			most.Store(n)
		}
		<-release
	}}
	citronpeer.Handle(mux, a)
	hs := httptest.NewServer(mux)
	defer hs.Close()
	addr := strings.TrimPrefix(hs.URL, "http://")
	c := &citronpeer.Client{HC: hs.Client(), Timeout: 30 * time.Second}
	const flood = 100
	errs := make(chan error, flood)
	for range flood {
		go func() {
			_, err := c.Exchange(context.Background(), addr, citronpeer.Knowledge{})
			errs <- err
		}()
	}
	for range flood - 8 {
		is.True(<-errs != nil) // turned away at once
	}
	_, err := c.News(context.Background(), addr, citronpeer.Knowledge{})
	is.NoErr(err)
	close(release)
	for range 8 {
		is.NoErr(<-errs)
	}
	is.Equal(most.Load(), int64(8))
}

// held is an answerer whose exchanges wait.
type held struct{ exchange func() }

func (h held) Exchange(k citronpeer.Knowledge) citronpeer.Knowledge {
	h.exchange()
	return k
}

func (h held) News(k citronpeer.Knowledge) citronpeer.Knowledge { return k }
