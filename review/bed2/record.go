package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text record of a play.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, buf: bufio.NewWriter(file)}, nil
}

// add adds a line with the time since the begin in seconds.
func (re *record) add(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.buf, "%8.3f  %s\n", time.Since(re.began).Seconds(), fmt.Sprintf(format, args...))
}

func (re *record) close() {
	re.mu.Lock()
	defer re.mu.Unlock()
	if err := re.buf.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := re.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
