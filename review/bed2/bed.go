package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The names of the deployment.
const (
	service    = "kaunter"
	routeName  = "r-scan"
	routeHost  = "kiosk.example"
	routePath  = "/scan/"
	maxTries   = 4
	entryPort  = 8161
	readyPort  = 8167
	peerPort   = 7720
	graceTime  = 6 * time.Second
	routeWait  = 10 * time.Second // timeoutMs of the route
	startLimit = 15 * time.Second
)

var zones = []string{"georgetown", "bayan-lepas", "air-itam"}

// bed is a small deployment: entries as processes, and stand-ins of the store and
// the runners.
type bed struct {
	rec     *record
	grp     *group.Group
	store   *store
	hist    *history
	program string
	dir     string
	net     [2]int // the second and third byte of the loopback addresses
	entries []*entry
	runners []*runner
	trouble bool
	// attempts is maxAttempts of the route.
	attempts    int
	client      *http.Client
	storeAt     string
	storeServer *http.Server
}

// host returns a loopback address of this bed.
func (bd *bed) host(num int) string { return fmt.Sprintf("127.%d.%d.%d", bd.net[0], bd.net[1], num) }

// newBed returns a bed without processes.
func newBed(ctx context.Context, program string, rec *record) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-bed-2-")
	if err != nil {
		return nil, err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	bd := &bed{
		attempts: maxTries,
		rec:      rec, grp: group.New(ctx), store: newStore(), hist: &history{}, program: program, dir: dir,
		net:    [2]int{16 + rand.IntN(200), rand.IntN(250)},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}},
	}
	return bd, nil
}

// build starts the store, the runners and the entries, and waits until all entries
// are ready.
func (bd *bed) build(ctx context.Context, entries, runners int) error {
	bd.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": routeName, "host": routeHost, "pathPrefix": routePath, "type": "non_idempotent", "timeoutMs": routeWait.Milliseconds(),
			"targetLatencyMs": 60, "priority": 0, "service": service, "maxAttempts": bd.attempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false,
		}},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := bd.serveStore(ctx); err != nil {
		return err
	}
	for num := range runners {
		ru := &runner{bd: bd, id: fmt.Sprintf("i-%04x", 0x7000+num), zone: zones[num%len(zones)], rack: fmt.Sprintf("r1-%d", num/8)}
		if err := ru.start(); err != nil {
			return err
		}
		bd.runners = append(bd.runners, ru)
		bd.grp.Go(ru.beat)
	}
	for num := range entries {
		en := &entry{bd: bd, num: num, name: fmt.Sprintf("edge-%s-%d", zones[num%len(zones)], num/len(zones)+1), ip: bd.host(11 + num)}
		bd.entries = append(bd.entries, en)
	}
	for _, en := range bd.entries {
		if err := en.start(true); err != nil {
			return err
		}
	}
	end := time.Now().Add(startLimit)
	for _, en := range bd.entries {
		for !en.ready(ctx) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", en.name)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	bd.rec.add("%d entries are ready, %d runners", entries, runners)
	sleep(ctx, 3*time.Second)
	return nil
}

// serveStore serves the store at a loopback address.
func (bd *bed) serveStore(ctx context.Context) error {
	cfg := net.ListenConfig{}
	lis, err := cfg.Listen(ctx, "tcp", bd.host(1)+":0")
	if err != nil {
		return err
	}
	bd.storeAt = lis.Addr().String()
	bd.storeServer = &http.Server{Handler: bd.store.handler(), ReadHeaderTimeout: time.Minute}
	bd.grp.Go(func(context.Context) {
		if err := bd.storeServer.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
			bd.rec.add("store: %v", err)
		}
	})
	return nil
}

// close ends all processes and stand-ins.
func (bd *bed) close() {
	for _, en := range bd.entries {
		en.kill()
	}
	for _, ru := range bd.runners {
		ru.close()
	}
	bd.client.CloseIdleConnections()
	if bd.storeServer != nil {
		if err := bd.storeServer.Close(); err != nil {
			bd.rec.add("store: %v", err)
		}
	}
	bd.grp.Close()
	if err := os.RemoveAll(bd.dir); err != nil {
		bd.rec.add("temporary folder: %v", err)
	}
}

// entry is one process of the project.
type entry struct {
	bd   *bed
	num  int
	name string
	ip   string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

const settingsFormat = `nodeName: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "penang"
listenAddrs:
  front: "%s:%d"
  ready: "%s:%d"
  control: "%s:8166"
internalPorts: [%d, 7735]
seeds: []
bootstrap: %v
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1500
bounds:
  contactMs: 3000
  ackTimeoutMs: 4000
  drainMs: 2000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 2000
  maxHoldMs: 1000
  stopTimeoutMs: 50
  gangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  remotePenalty: 2
  checkpointIntervalS: 2
  restoreMs: 600
  leaseMs: 3000
  retryIntervalMs: 1300
controlMode: "request"
platform:
  address: %q
  form: "table"
  writesPerS: 600
  readsPerS: 2000
  txnLatencyMs: 6.0
  partitionWritesS: 200
  maxRowBytes: 65536
  crossShard: false
  retentionS: 20
`

// start starts the process.
func (en *entry) start(first bool) error {
	path := filepath.Join(en.bd.dir, en.name+".yaml")
	text := fmt.Sprintf(settingsFormat, en.name, en.ip, zones[en.num%len(zones)], en.ip, entryPort, en.ip, readyPort, en.ip, peerPort, first, en.bd.storeAt)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(en.bd.dir, en.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(en.bd.grp.Context(), en.bd.program, "fleet") //nolint:gosec // the program of the deploy file
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERWALL_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	en.mu.Lock()
	en.cmd, en.done = cmd, done
	en.mu.Unlock()
	en.bd.grp.Go(func(context.Context) {
		err := cmd.Wait()
		en.bd.rec.add("process of %s has ended: %v", en.name, err)
		close(done)
		if err := log.Close(); err != nil {
			en.bd.rec.add("log: %v", err)
		}
	})
	return nil
}

// signal sends a signal to the process.
func (en *entry) signal(sig syscall.Signal) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.cmd == nil {
		return
	}
	en.bd.rec.add("%s gets %v", en.name, sig)
	if err := en.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		en.bd.rec.add("%s: %v", en.name, err)
	}
}

// kill kills the process and waits until it has ended.
func (en *entry) kill() {
	en.mu.Lock()
	cmd, done := en.cmd, en.done
	en.mu.Unlock()
	if cmd == nil {
		return
	}
	en.signal(syscall.SIGKILL)
	<-done
}

func (en *entry) ready(ctx context.Context) bool {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", en.ip, readyPort), nil)
	if err != nil {
		return false
	}
	rep, err := en.bd.client.Do(rq)
	if err != nil {
		return false
	}
	defer rep.Body.Close()
	return rep.StatusCode == http.StatusOK
}

// answer is the answer to a client's request.
type answer struct {
	sent, ended time.Time
	status      int // 0 for no answer
	state       string
	err         error
}

// call sends a client's request.
func (en *entry) call(ctx context.Context, method, id string, body any, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	an := answer{sent: time.Now()}
	var raw io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			an.err = err
			return an
		}
		raw = bytes.NewReader(text)
	}
	rq, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", en.ip, entryPort, routePath, id), raw)
	if err != nil {
		an.err = err
		return an
	}
	rq.Host = routeHost
	rq.Header.Set("Content-Type", "application/json")
	rep, err := en.bd.client.Do(rq)
	an.ended = time.Now()
	if err != nil {
		an.err = err
		return an
	}
	defer rep.Body.Close()
	var out struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(rep.Body).Decode(&out); err != nil {
		an.err = err
		return an
	}
	an.ended = time.Now()
	an.status, an.state = rep.StatusCode, out.State
	return an
}

// newID returns a job id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
