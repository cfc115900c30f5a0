package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to the record file of a case, with the time since its start.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// newRecord creates the record file.
func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: f, start: time.Now()}, nil
}

// Addf adds a line.
func (r *Record) Addf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}
