package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// An answer without a length, whose engine crashes before its end.

const (
	// unframedBytes is the length of the whole body, and it is sent in two halves,
	// unframedPause apart.
	unframedBytes = 4000
	unframedPause = 400 * time.Millisecond
)

// servePlain serves a plain engine whose answers have no length and end with their
// connections.
func servePlain(addr, id string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	return http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if answerChecks(w, r, id, born) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get("X-Attempt-Id")
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		body := unframedBody(attempt)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stand.%s.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", attempt, id, attempt, body[:unframedBytes/2])
		time.Sleep(unframedPause)
		_, _ = io.WriteString(conn, body[unframedBytes/2:])
	}))
}

func unframedBody(id string) string {
	return strings.Repeat(id+"\n", unframedBytes)[:unframedBytes]
}

// crashedZone is the zone whose engines crash together.
const crashedZone = "karratha-hall"

// unframed kills the engines of one zone while they answer, and checks that no caller gets a
// part of an answer as a whole one.
func unframed(l *lab) (bool, error) {
	if _, err := l.writeConfig(floorConfig(7)); err != nil {
		return false, err
	}
	zones := []string{"karratha-hall", "hedland-hall", "dampier-hall"}
	var crash []func()
	for i := range 2 * len(zones) {
		zone := zones[i%len(zones)]
		cmd, reg, err := l.startEngineProcess(fmt.Sprintf("i-%s-%d", zone, i), zone)
		if err != nil {
			return false, err
		}
		if zone == crashedZone {
			crash = append(crash, func() { _ = cmd.Process.Kill(); reg.end() })
		}
	}
	if err := l.startNodes(zones...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	answers := make(chan answer)
	const calls = 12
	for i := range calls {
		go func() { answers <- call(l.nodes[i%len(l.nodes)], http.MethodPost, "/release/plate", 4*time.Second) }()
	}
	time.Sleep(unframedPause / 2)
	if l.trouble {
		for _, kill := range crash {
			kill()
		}
		l.note("the processes of the %d engines in %s are killed", len(crash), crashedZone)
	}
	broken := false
	for range calls {
		a := <-answers
		l.note("%s", a)
		if a.err == nil && a.status < 300 && string(a.body) != unframedBody(a.id) {
			l.note("%s: MIXED: a success with %d bytes of the engine's %d", a.id, len(a.body), unframedBytes)
			broken = true
		}
	}
	return broken, nil
}
