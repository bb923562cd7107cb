package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// step is a step of a job on the wire. runMs is how long its tasks take, which
// only the workers know.
type step struct {
	Count        int     `json:"count"`
	CPU          int64   `json:"cpu"`
	MemMB        int64   `json:"memMb"`
	EstimatedMs  float64 `json:"estimatedMs"`
	After        []int   `json:"after,omitempty"`
	Requirements string  `json:"requirements,omitempty"`
	LongRunning  bool    `json:"longRunning,omitempty"`
	GPUs         int     `json:"gpus,omitempty"`
	Gang         bool    `json:"gang,omitempty"`
	AntiAffinity int     `json:"antiAffinity,omitempty"`
	runMs        int64
	fails        func(task string, run int64) bool // nil for never
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"bestEffort,omitempty"`
}

// run is a run of a task as the worker has seen it.
type run struct {
	worker string
	task   string
	run    int64
	began  time.Duration
	ended  time.Duration
	how    string
}

// bed is a small deployment.
type bed struct {
	rec     *recorder
	grp     *group.Group
	store   *store
	server  *http.Server
	address string // of the store
	dir     string
	prefix  string // of the addresses of the entries
	entries []*entry
	workers []*worker
	calls   *http.Client
	// extraRoute adds a second route to the desired state.
	extraRoute bool

	mu     sync.Mutex
	jobs   map[string]jobBody
	starts []start
	runs   []run
	notes  map[string]time.Duration   // when the end of a run was acknowledged
	lapses map[string][]time.Duration // when the leases of a worker ran out
}

func newBed(record string) (*bed, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "oleanderwall-review-")
	if err != nil {
		return nil, err
	}
	bd := &bed{
		rec: rec, grp: group.New(context.Background()), dir: dir, jobs: map[string]jobBody{}, notes: map[string]time.Duration{}, lapses: map[string][]time.Duration{},
		// A loopback network of its own, because the entries use fixed ports.
		prefix: fmt.Sprintf("127.%d.%d.", 20+os.Getpid()/250%200, 1+os.Getpid()%250),
		calls:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	bd.store = newStore(rec)
	cfg := net.ListenConfig{}
	lis, err := cfg.Listen(bd.grp.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	bd.address = lis.Addr().String()
	bd.server = &http.Server{Handler: bd.store, ReadHeaderTimeout: maxFeedWait}
	bd.grp.Go(func(context.Context) {
		if err := bd.server.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
			rec.logf("store server: %v", err)
		}
	})
	bd.grp.Every(100*time.Millisecond, func(context.Context) { bd.expireReports() })
	return bd, nil
}

// close ends all processes and servers.
func (bd *bed) close() {
	for _, en := range bd.entries {
		en.kill()
	}
	for _, wk := range bd.workers {
		wk.crash()
	}
	if err := bd.server.Close(); err != nil {
		bd.rec.logf("store close: %v", err)
	}
	bd.grp.Close()
	if os.Getenv("BED_KEEP") != "" {
		// The logs of the entries stay in the temporary folder.
		fmt.Println("logs:", bd.dir)
	} else if err := os.RemoveAll(bd.dir); err != nil {
		bd.rec.logf("temporary folder: %v", err)
	}
	if err := bd.rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// expireReports removes the reports of workers that are silent.
func (bd *bed) expireReports() {
	for _, wk := range bd.workers {
		wk.mu.Lock()
		silent := wk.srv == nil && time.Since(wk.reportedAt) > reportExpiry
		wk.mu.Unlock()
		if silent && bd.store.value(tableWorkers, wk.id) != nil {
			bd.store.remove(tableWorkers, wk.id)
			bd.rec.logf("worker %s report removed", wk.id)
		}
	}
}

// addWorkers starts workers of one kind.
func (bd *bed) addWorkers(count int, kd kind) error {
	for range count {
		num := len(bd.workers)
		wk := &worker{bd: bd, id: fmt.Sprintf("i-%08x", 0x7f3a9100+num), zone: "nalon", rack: fmt.Sprintf("r1-%d", num/4)}
		if err := wk.startLife(kd); err != nil {
			return err
		}
		bd.workers = append(bd.workers, wk)
	}
	return nil
}

type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"pathPrefix"`
	Type        string  `json:"type"`
	TimeoutMs   int     `json:"timeoutMs"`
	TargetMs    int     `json:"targetLatencyMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Stretch     float64 `json:"stretch"`
}

const (
	hostName   = "nony24.example"
	pathPrefix = "/lohu930/"
	// extraPrefix is the prefix of a route that a case removes.
	extraPrefix = "/pule252/"
)

// configure writes a version of the desired state.
func (bd *bed) configure(version int) error {
	type service struct {
		Name           string `json:"name"`
		HealthPath     string `json:"healthPath"`
		MaxConnections int    `json:"maxConnections"`
		Protocol       string `json:"protocol"`
		AdmissionCheck bool   `json:"admissionCheck"`
	}
	routes := []route{{
		Name: "r-wrr6x73", Host: hostName, PathPrefix: pathPrefix, Type: "non_idempotent", TimeoutMs: 1500, TargetMs: 60,
		Service: serviceName, MaxAttempts: 4, Stretch: 1.6,
	}}
	if bd.extraRoute {
		extra := routes[0]
		extra.Name, extra.PathPrefix = "r-73hh2b9", extraPrefix
		routes = append(routes, extra)
	}
	return bd.store.put(tableDesired, desiredKey, map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []service{{Name: serviceName, HealthPath: "/health", MaxConnections: 64, Protocol: "h1"}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// entry is one process of the system.
type entry struct {
	bd   *bed
	name string
	ip   string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (en *entry) logPath() string { return filepath.Join(en.bd.dir, en.name+".log") }

// addEntry starts an entry on a machine of its own address.
func (bd *bed) addEntry() error {
	num := len(bd.entries) + 1
	en := &entry{bd: bd, name: fmt.Sprintf("edge-nalon-%d", num), ip: bd.prefix + strconv.Itoa(num)}
	bd.entries = append(bd.entries, en)
	return en.start(num <= entriesAtStart)
}

// settings returns the settings file of an entry.
func (en *entry) settings(bootstrap bool) string {
	bd := en.bd
	return fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "edge"
serves:
  - "edge"
ip: %q
zone: "nalon"
region: "cantabrico"
zones:
  nalon: "cantabrico"
listenAddrs:
  front: "%s:8161"
  ready: "%s:8167"
  control: "%s:8166"
internalPorts:
  - 7720
  - 7735
bootstrap: %t
lossCounts: false
limits:
  cpuShare: 0.4
  cpuCores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
faultTolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  contactMs: 3000
  ackTimeoutMs: 4000
  drainMs: 2000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 2000
  recoveryS: 12
  maxHoldMs: 1000
  stopTimeoutMs: 50
  gangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  remotePenalty: 3
  checkpointIntervalS: 2
  restoreMs: 100
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
`, en.name, en.ip, en.ip, en.ip, en.ip, bootstrap, bd.address)
}

// start starts the process of the entry.
func (en *entry) start(bootstrap bool) error {
	path := filepath.Join(en.bd.dir, en.name+".yaml")
	if err := os.WriteFile(path, []byte(en.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(en.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The words of "run" in the deploy file.
	cmd := exec.CommandContext(en.bd.grp.Context(), "target/oleanderwall", "fleet")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "OLEANDERWALL_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	done := make(chan struct{})
	en.mu.Lock()
	en.cmd, en.done = cmd, done
	en.mu.Unlock()
	en.bd.rec.logf("entry %s started", en.name)
	en.bd.grp.Go(func(context.Context) {
		err := cmd.Wait()
		en.bd.rec.logf("entry %s ended: %v", en.name, err)
		if err := out.Close(); err != nil {
			en.bd.rec.logf("log of %s: %v", en.name, err)
		}
		close(done)
	})
	return nil
}

// signal sends a signal to the process of the entry.
func (en *entry) signal(sig syscall.Signal) {
	en.mu.Lock()
	cmd := en.cmd
	en.mu.Unlock()
	if cmd == nil {
		return
	}
	if err := cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		en.bd.rec.logf("entry %s signal %s: %v", en.name, sig, err)
	}
}

// kill ends the process and waits until it has ended.
func (en *entry) kill() {
	en.signal(syscall.SIGKILL)
	en.wait(5 * time.Second)
}

// wait waits until the process has ended.
func (en *entry) wait(limit time.Duration) bool {
	en.mu.Lock()
	done := en.done
	en.mu.Unlock()
	if done == nil {
		return true
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// ready reports whether the entry answers the probe of the balancer with 200.
func (en *entry) ready() bool {
	ctx, cancel := context.WithTimeout(en.bd.grp.Context(), time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+en.ip+":8167/ready", http.NoBody)
	if err != nil {
		return false
	}
	rep, err := en.bd.calls.Do(rq)
	if err != nil {
		return false
	}
	return errors.Join(rep.Body.Close()) == nil && rep.StatusCode == http.StatusOK
}

// entriesAtStart is the number of entries of the deployment.
const entriesAtStart = 3

// start starts a deployment and waits until all entries are ready and all workers
// have a holder.
func (bd *bed) start(workers int, kd kind) error {
	if err := bd.configure(7); err != nil {
		return err
	}
	if err := bd.addWorkers(workers, kd); err != nil {
		return err
	}
	for range entriesAtStart {
		if err := bd.addEntry(); err != nil {
			return err
		}
	}
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		if bd.settled() {
			// Workers move between the entries when these have met.
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return errors.New("the deployment is not ready after 10 s")
}

// settled reports whether all entries are ready and all workers have a holder.
func (bd *bed) settled() bool {
	for _, en := range bd.entries {
		if !en.ready() {
			return false
		}
	}
	for _, wk := range bd.workers {
		wk.mu.Lock()
		held := wk.token > 0
		wk.mu.Unlock()
		if !held {
			return false
		}
	}
	return true
}

// holderOf returns the number of the entry that holds a worker, according to the
// row that the entries keep in the store, -1 if it is not known.
func (bd *bed) holderOf(id string) int {
	raw := string(bd.store.value("oleanderwall", "holder/"+id))
	for num, en := range bd.entries {
		if strings.Contains(raw, `"`+en.name+`/`) {
			return num
		}
	}
	return -1
}

// answer is what a caller has received. Its status is 0 without an answer.
type answer struct {
	status int
	state  string
	body   string
}

// call sends a request to an entry and waits for the answer up to callLimit.
func (bd *bed) call(en *entry, method, id string, body []byte) answer {
	return bd.callAt(en, method, pathPrefix, id, body)
}

func (bd *bed) callAt(en *entry, method, prefix, id string, body []byte) answer {
	ctx, cancel := context.WithTimeout(bd.grp.Context(), callLimit)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+en.ip+":8161"+prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	rq.Host = hostName
	rq.Header.Set(contentType, applicationTyp)
	rq.Header.Set("X-Deadline-Ms", strconv.FormatInt(callLimit.Milliseconds(), 10))
	sent := bd.rec.now()
	rep, err := bd.calls.Do(rq)
	if err != nil {
		bd.rec.logf("call %s %s at %s sent=%.3f no answer: %v", method, id, en.name, sent.Seconds(), errors.Unwrap(err))
		return answer{}
	}
	raw, err := io.ReadAll(rep.Body)
	if err := errors.Join(err, rep.Body.Close()); err != nil {
		bd.rec.logf("call %s %s at %s sent=%.3f broken answer: %v", method, id, en.name, sent.Seconds(), err)
		return answer{}
	}
	out := answer{status: rep.StatusCode, body: strings.TrimSpace(string(raw))}
	var state struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(raw, &state); err == nil {
		out.state = state.State
	}
	bd.rec.logf("call %s %s at %s sent=%.3f status=%d %s", method, id, en.name, sent.Seconds(), out.status, out.body)
	return out
}

// post hands a job in.
func (bd *bed) post(en *entry, id string, job jobBody) answer {
	return bd.postAt(en, pathPrefix, id, job)
}

// postAt hands a job in at a route.
func (bd *bed) postAt(en *entry, prefix, id string, job jobBody) answer {
	bd.mu.Lock()
	bd.jobs[id] = job
	bd.mu.Unlock()
	raw, err := json.Marshal(job)
	if err != nil {
		return answer{}
	}
	bd.rec.logf("job %s steps=%d bytes=%d best-effort=%t", id, len(job.Steps), len(raw), job.BestEffort)
	return bd.callAt(en, http.MethodPost, prefix, id, raw)
}

// stepOf returns the step of a task.
func (bd *bed) stepOf(task string) (step, bool) {
	id, num := jobOf(task)
	bd.mu.Lock()
	defer bd.mu.Unlock()
	job, ok := bd.jobs[id]
	if !ok || num >= len(job.Steps) {
		return step{}, false
	}
	return job.Steps[num], true
}

// began records a start.
func (bd *bed) began(st start) {
	bd.rec.logf("start worker=%s kind=%s task=%s run=%d cpu=%d/%d", st.worker, st.kind, st.task, st.run, st.cpuUsed, st.cpuRoom)
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.starts = append(bd.starts, st)
}

// ran records the end of a run.
func (bd *bed) ran(id string, rn *runState, how string) {
	bd.rec.logf("end worker=%s task=%s run=%d how=%s", id, rn.task, rn.run, how)
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.runs = append(bd.runs, run{worker: id, task: rn.task, run: rn.run, began: rn.began, ended: bd.rec.now(), how: how})
}

// noted records that an end was acknowledged.
func (bd *bed) noted(id string, ed endedRun) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.notes[fmt.Sprintf("%s %s %d", id, ed.task, ed.run)] = bd.rec.now()
}

// lapsed records that the lease of a worker has run out.
func (bd *bed) lapsed(id string) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.lapses[id] = append(bd.lapses[id], bd.rec.now())
}

// startsSince returns the starts from a time on.
func (bd *bed) startsSince(at time.Duration) []start {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	var list []start
	for _, st := range bd.starts {
		if st.at >= at {
			list = append(list, st)
		}
	}
	return list
}

// startsOf returns the starts of the tasks of a job.
func (bd *bed) startsOf(id string) []start {
	var list []start
	for _, st := range bd.startsSince(0) {
		if strings.HasPrefix(st.task, id+".") {
			list = append(list, st)
		}
	}
	return list
}

// jobID returns the id of a job with a number.
func jobID(num int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(num)) }
