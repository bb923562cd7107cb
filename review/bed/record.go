// Command bed plays the cases of the review. It starts the entries as separate
// processes, with the program and the arguments of the deploy file, and the
// stand-ins of the platform's store, the workers and the callers in its own
// process. It records what was sent, answered and run, and checks one rule.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the lines of record.txt.
type recorder struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, buf: bufio.NewWriter(file)}, nil
}

// now returns the time since the start of the record.
func (re *recorder) now() time.Duration { return time.Since(re.began) }

// logf writes one line with the time since the start.
func (re *recorder) logf(format string, args ...any) {
	at := re.now()
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.buf, "%9.3f "+format+"\n", append([]any{at.Seconds()}, args...)...)
}

// sayf writes one line to the record and to the standard output.
func (re *recorder) sayf(format string, args ...any) {
	fmt.Printf("%9.3f "+format+"\n", append([]any{re.now().Seconds()}, args...)...)
	re.logf(format, args...)
}

func (re *recorder) close() error {
	re.mu.Lock()
	defer re.mu.Unlock()
	if err := re.buf.Flush(); err != nil {
		return err
	}
	return re.file.Close()
}
