package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/crowd"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The limits of a process under a crowd, as in the test of the fleet.
const (
	crowdMemoryMB = 64
	crowdMaxFds   = 600
	crowdJobs     = 3
	crowdWait     = 20 * time.Second
	crowdZone     = "waco-east"
)

// crowdLimits are the lines of the settings file with the limits.
var crowdLimits = fmt.Sprintf("limits: {memory-mb: %d, max-descriptors: %d}\n", crowdMemoryMB, crowdMaxFds)

// crowdEntry is an entry process with the stand-ins of its platform.
type crowdEntry struct {
	t       *testing.T
	ip      string
	process *crowd.Process
}

func startCrowdEntry(t *testing.T, binary string) *crowdEntry {
	fleet, err := standin.StartFleet(standin.FleetOptions{
		Table: standin.TableOptions{WritesPerSecond: 500, ReadsPerSecond: 2000}, Zones: []ids.AvailabilityZone{crowdZone},
		Workers: 2, WorkerCores: 16, WorkerMemory: 4096, WorkersInRack: 1, UsageLag: 100 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	ce := &crowdEntry{t: t, ip: fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))}
	settings := fmt.Sprintf(`entry-id: entry-1
availability-zone: %[5]s
listen: {callers: "%[1]s:8080", operators: "%[1]s:8081", peers: "%[1]s:8082"}
platform: {table: "http://%[2]s", objects: "http://%[3]s", vm-list: "http://%[4]s"}
timing: {vm-list-poll: 100ms}
%[6]s`, ce.ip, fleet.TableServer.Address(), fleet.ObjectsServer.Address(), fleet.VMServer.Address(), crowdZone, crowdLimits)
	path := filepath.Join(t.TempDir(), "entry.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	ce.process = crowd.Start(t, binary, "entry", "-settings", path)
	ce.runJob("first")
	return ce
}

// submit submits a job once and returns its state.
func (ce *crowdEntry) submit(id string) (int, string, error) {
	raw, err := json.Marshal(map[string]any{"id": id, "team": "opticians", "tasks": []map[string]any{
		{"kind": "lens-tilt", "processors": 1, "memory-mb": 64, "run-millis": 30, "payload": standin.TaskPayload{RunMillis: 30, Answer: id}},
	}})
	if err != nil {
		return 0, "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdWait)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ce.ip+":8080/v1/jobs?wait=5s", bytes.NewReader(raw))
	if err != nil {
		return 0, "", err
	}
	rq.Close = true
	rp, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer rp.Body.Close()
	got, err := io.ReadAll(rp.Body)
	return rp.StatusCode, string(got), err
}

// runJob submits a job until it is complete.
func (ce *crowdEntry) runJob(id string) {
	last := ""
	for end := time.Now().Add(crowdWait); time.Now().Before(end) && !ce.process.Ended(); time.Sleep(20 * time.Millisecond) {
		status, body, err := ce.submit(id)
		if err == nil && status == http.StatusOK && strings.Contains(body, "complete") {
			return
		}
		last = fmt.Sprint(status, body, err)
	}
	log := ce.process.Log()
	ce.t.Errorf("job %s is not complete, the last answer was %s\n%s", id, last, log[:min(len(log), 2000)])
}

// TestCrowds guards against an entry that runs out of memory or descriptors, or
// no longer serves others, because of clients that do not behave.
func TestCrowds(t *testing.T) {
	crowd.Lock(t)
	binary := crowd.Build(t)
	for _, kind := range crowd.Kinds() {
		for _, to := range []crowd.Target{
			{Name: "job route", Address: ":8080", Host: "h", Path: "/v1/jobs", List: "tasks"},
			{Name: "path without a route", Address: ":8080", Host: "h", Path: "/nowhere/1"},
			{Name: "readiness path", Address: ":8081", Host: "h", Path: "/readyz"},
			{Name: "metrics path", Address: ":8081", Host: "h", Path: "/metrics"},
		} {
			t.Run(kind.Name+"/"+to.Name, func(t *testing.T) { checkCrowd(t, binary, kind, to) })
		}
	}
}

func checkCrowd(t *testing.T, binary string, kind crowd.Kind, to crowd.Target) {
	ce := startCrowdEntry(t, binary)
	to.Address = ce.ip + to.Address
	cr := crowd.Open(t.Context(), kind, to)
	defer cr.Close()
	jobs := group.New(t.Context())
	jobs.Go(func(context.Context) {
		for num := range crowdJobs {
			ce.runJob(fmt.Sprint("job-", num))
		}
	})
	cr.Settle(t.Context())
	if status, body, err := ce.submit("ordinary"); status != http.StatusOK || !strings.Contains(body, "complete") {
		t.Errorf("an ordinary request is answered with %d %s, %v", status, body, err)
	}
	jobs.Wait()
	us := ce.process.Usage()
	t.Logf("crowd of %d: %s", kind.Connections, us)
	if ce.process.Ended() {
		t.Fatal("the process has ended")
	}
	if us.Peak > crowdMemoryMB<<10 || us.Resident > crowdMemoryMB<<10 {
		t.Errorf("the process holds %d kB and held %d kB, the limit is %d MB", us.Resident, us.Peak, crowdMemoryMB)
	}
	if us.MaxOpen > crowdMaxFds {
		t.Errorf("the process had %d open descriptors, the limit is %d", us.MaxOpen, crowdMaxFds)
	}
}
