package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// printf writes one line to the record and to standard output.
func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.line(line)
}

// notef writes one line to the record.
func (r *record) notef(format string, args ...any) {
	r.line(fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...))
}

func (r *record) line(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An error shows as a record that is cut short.
	_, _ = r.w.WriteString(line + "\n")
	_ = r.w.Flush()
}

func (r *record) close() { r.file.Close() }
