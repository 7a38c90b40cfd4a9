package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run, with the time since the case began.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatalf("%v", err)
	}
	return &record{file: f, began: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// conclude writes the result to the record and to the standard output.
func (r *record) conclude(broken bool, format string, args ...any) int {
	text, code := "held: ", exitHeld
	if broken {
		text, code = "BROKEN: ", exitBroken
	}
	text += fmt.Sprintf(format, args...)
	r.printf("%s", text)
	fmt.Println(text)
	return code
}

// cleanUp ends all processes that were started and removes the temporary folder.
var cleanUp = func() {}

// fatalf ends a case that could not run.
func fatalf(format string, args ...any) {
	fmt.Printf("not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(exitNotRun)
}
