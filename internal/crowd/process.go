package crowd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Build builds the program once for a test and returns its path. It is built
// without the race detector, which multiplies the memory that the tests bound.
func Build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "oleanderwall")
	//nolint:gosec // the path is that of a new temporary directory
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", path, "github.com/oleanderwall/oleanderwall/cmd/oleanderwall")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// Lock waits until no other test with a crowd runs on this machine, and keeps
// others waiting until the test has ended.
func Lock(t *testing.T) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "oleanderwall-crowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
}

// Process is a running program under observation.
type Process struct {
	cmd     *exec.Cmd
	grp     *group.Group
	ended   chan struct{}
	mu      sync.Mutex
	log     bytes.Buffer
	maxOpen int
}

// Write keeps the output of the program.
func (pr *Process) Write(raw []byte) (int, error) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.log.Write(raw)
}

// Log returns the output of the program.
func (pr *Process) Log() string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.log.String()
}

// Start starts a program and kills it at the end of the test.
func Start(t *testing.T, path string, args ...string) *Process {
	t.Helper()
	grp := group.New(context.Background())
	//nolint:gosec // the program is the one that the test has built
	pr := &Process{cmd: exec.CommandContext(grp.Context(), path, args...), grp: grp, ended: make(chan struct{})}
	pr.cmd.Stdout, pr.cmd.Stderr = pr, pr
	if err := pr.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pr.grp.Go(func(context.Context) {
		_ = pr.cmd.Wait()
		close(pr.ended)
	})
	const sampling = 10 * time.Millisecond
	pr.grp.Every(sampling, func(context.Context) { pr.sample() })
	t.Cleanup(pr.grp.Close) // kills the program
	return pr
}

func (pr *Process) sample() {
	open := pr.open()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.maxOpen = max(pr.maxOpen, open)
}

// Ended reports whether the program has ended.
func (pr *Process) Ended() bool {
	select {
	case <-pr.ended:
		return true
	default:
		return false
	}
}

// open returns the number of open descriptors.
func (pr *Process) open() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pr.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// Usage is what a program holds.
type Usage struct {
	Resident, Peak int // kilobytes
	Open, MaxOpen  int // descriptors, now and at most
}

// String returns the figures in one line.
func (us Usage) String() string {
	return fmt.Sprintf("rss=%dkB hwm=%dkB fds=%d max-fds=%d", us.Resident, us.Peak, us.Open, us.MaxOpen)
}

// Usage returns what the program holds. All values are 0 if it has ended.
func (pr *Process) Usage() Usage {
	pr.sample()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid))
	if err != nil {
		return Usage{}
	}
	us := Usage{Open: pr.open()}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		val, err := strconv.Atoi(fields[1])
		switch {
		case err != nil:
		case fields[0] == "VmRSS:":
			us.Resident = val
		case fields[0] == "VmHWM:":
			us.Peak = val
		}
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	us.MaxOpen = pr.maxOpen
	return us
}
