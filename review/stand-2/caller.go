package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answer is what a caller received.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// call sends one request to a node over a new connection and reads the whole answer.
func call(n *node, method, path string, deadline time.Duration) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("plate 7, nest 12\n"))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("X-Credential", apiKey)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.status, a.header = res.StatusCode, res.Header
	a.body, a.err = io.ReadAll(res.Body)
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: status %d, %d bytes, error: %v", a.id, a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%s: status %d, whole answer of %d bytes, stamp %q", a.id, a.status, len(a.body), a.header.Get("X-Server-Stamp"))
}
