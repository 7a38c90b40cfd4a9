package main

// Callers, over raw connections: a test sets when each byte of a request is sent.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got.
type answer struct {
	status int
	// complete reports that the response arrived whole.
	complete bool
	err      error
	// events is the number of events of a stream.
	events int
	took   time.Duration
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer: %v, after %v", a.err, a.took.Round(time.Millisecond))
	case !a.complete:
		return fmt.Sprintf("status %d, cut after %d events: %v, after %v", a.status, a.events, a.err, a.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("status %d, whole, %d events, after %v", a.status, a.events, a.took.Round(time.Millisecond))
}

// streamHead and unsafeHead are the heads of requests, without the blank line.
func streamHead(id string, bodyBytes int) string {
	return fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m1\r\nX-Token-Counts: 800,276\r\nX-Prompt-Prefix: 5c1e07a2:40,%s:760\r\nX-Deadline-Ms: 20000\r\nX-Credential: %s\r\nContent-Length: %d\r\n", routeHost, id, id, apiKey, bodyBytes)
}

func unsafeHead(id string, bodyBytes int) string {
	return fmt.Sprintf("POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\nX-Credential: %s\r\nContent-Length: %d\r\n", routeHost, id, apiKey, bodyBytes)
}

// readAnswer reads a response to its end.
func readAnswer(in *bufio.Reader, began time.Time) (a answer) {
	defer func() { a.took = time.Since(began) }()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	a.status = res.StatusCode
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			a.events++
		}
		if errors.Is(err, io.EOF) {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

// readBody reads a response to its end and returns the length of its body.
func readBody(in *bufio.Reader, began time.Time) (a answer, bytes int) {
	defer func() { a.took = time.Since(began) }()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err}, 0
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, complete: err == nil, err: err}, len(body)
}

// dial connects as callers do, with a time limit of a second.
func dial(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, time.Second)
}
