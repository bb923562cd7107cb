package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	// The tests run the command as a process; the import makes the cache of test
	// results depend on its source.
	_ "github.com/oleanderwall/oleanderwall/internal/command"
	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"
)

// TestIntegration runs the specs of this package.
func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

var binary string

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "oleanderwall-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = os.RemoveAll(dir) })
	binary = filepath.Join(dir, "oleanderwall")
	args := []string{"build", "-o", binary}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "github.com/oleanderwall/oleanderwall/cmd/oleanderwall")...)
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// clusterOptions describe a cluster of entry processes over a fleet.
type clusterOptions struct {
	fleet standin.FleetOptions
	// zones lists the availability zone of each entry.
	zones []ids.AvailabilityZone
	// proxyTargets and proxyWorkers put a proxy in front of each target or
	// worker.
	proxyTargets bool
	proxyWorkers bool
	// prepare, when set, runs before the entries start.
	prepare func(cl *cluster)
}

// cluster is a platform and its entries, which run as processes. Each entry has
// proxies of its own in front of the services of the platform.
type cluster struct {
	fleet         *standin.Fleet
	entries       []*entryProcess
	targetProxies []*faultproxy.Proxy
	workerProxies []*faultproxy.Proxy
}

// entryProcess is one entry as a process.
type entryProcess struct {
	id        string
	zone      ids.AvailabilityZone
	callers   string
	operators string
	peers     string
	settings  string
	cmd       *exec.Cmd
	done      chan struct{}
	log       *syncBuffer
	// table, objects and vms are the proxies between the entry and the
	// platform; peer is the proxy through which other entries reach it.
	table, objects, vms, peer *faultproxy.Proxy
}

type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (sb *syncBuffer) Write(raw []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.Write(raw)
}

func (sb *syncBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.String()
}

func defaultFleet() standin.FleetOptions {
	return standin.FleetOptions{
		Table:         standin.TableOptions{CommitDelay: 5 * time.Millisecond, WritesPerSecond: 500, ReadsPerSecond: 2000},
		VMLag:         500 * time.Millisecond,
		Service:       "fitdesk",
		Zones:         []ids.AvailabilityZone{"austin-north", "waco-east", "temple-south"},
		Targets:       6,
		Slots:         8,
		Connections:   64,
		Workers:       6,
		WorkerCores:   64,
		WorkerMemory:  128 << 10,
		WorkersInRack: 2,
		UsageLag:      500 * time.Millisecond,
	}
}

func threeZones() []ids.AvailabilityZone {
	return []ids.AvailabilityZone{"austin-north", "waco-east", "temple-south"}
}

// startCluster starts the platform and the entries, and creates the service.
// All of it is stopped at the end of the spec.
func startCluster(opt clusterOptions) *cluster {
	fleet, err := standin.StartFleet(opt.fleet)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Close)
	cl := &cluster{fleet: fleet}
	fleet.VMs.Change(func(vms []ids.VM) []ids.VM { return cl.proxyBackends(vms, opt) })
	for i, zone := range opt.zones {
		cl.entries = append(cl.entries, newEntry(cl, i, zone))
	}
	fleet.VMs.Change(func(vms []ids.VM) []ids.VM {
		for _, en := range cl.entries {
			vms = append(vms, en.vm())
		}
		return vms
	})
	if opt.prepare != nil {
		opt.prepare(cl)
	}
	for _, en := range cl.entries {
		en.start()
	}
	for _, en := range cl.entries {
		en.awaitReady()
	}
	cl.createService(opt.fleet.Service)
	return cl
}

func (cl *cluster) proxyBackends(vms []ids.VM, opt clusterOptions) []ids.VM {
	for i := range vms {
		isTarget := vms[i].Kind == ids.KindTarget
		if isTarget && !opt.proxyTargets || !isTarget && !opt.proxyWorkers {
			continue
		}
		px := newProxy(vms[i].Address)
		vms[i].Address = px.Address()
		if isTarget {
			cl.targetProxies = append(cl.targetProxies, px)
		} else {
			cl.workerProxies = append(cl.workerProxies, px)
		}
	}
	return vms
}

func newProxy(target string) *faultproxy.Proxy {
	px, err := faultproxy.New(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(px.Close)
	return px
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses sync.Map

// freeAddress returns a loopback address whose port was free at the time of the
// call. It never returns an address twice: two listeners of one cluster
// occasionally drew the same port, and the entry that listened second did not
// start. The port is below the range from which the kernel picks the ports of
// proxies and outgoing connections: one of those occasionally took the port
// before the entry listened on it.
func freeAddress() string {
	const first, count = 10000, 20000
	for range 1000 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count)))
		if err == nil {
			address := ln.Addr().String()
			_ = ln.Close()
			if _, taken := usedAddresses.LoadOrStore(address, true); !taken {
				return address
			}
		}
	}
	Fail("no free port")
	return ""
}

func newEntry(cl *cluster, i int, zone ids.AvailabilityZone) *entryProcess {
	en := &entryProcess{
		id:        fmt.Sprintf("entry-%d", i+1),
		zone:      zone,
		callers:   freeAddress(),
		operators: freeAddress(),
		peers:     freeAddress(),
		table:     newProxy(cl.fleet.TableServer.Address()),
		objects:   newProxy(cl.fleet.ObjectsServer.Address()),
		vms:       newProxy(cl.fleet.VMServer.Address()),
	}
	en.peer = newProxy(en.peers)
	en.writeSettings("")
	return en
}

// writeSettings writes the settings file; extra holds additional YAML lines.
func (en *entryProcess) writeSettings(extra string) {
	text := fmt.Sprintf(`entry-id: %s
region: central-texas
availability-zone: %s
size: 4
listen: {callers: "%s", operators: "%s", peers: "%s"}
platform: {table: "http://%s", objects: "http://%s", vm-list: "http://%s"}
timing: {balancer-notice: 300ms, vm-list-poll: 200ms, configuration-poll: 500ms, shutdown-bound: 20s}
%s`, en.id, en.zone, en.callers, en.operators, en.peers, en.table.Address(), en.objects.Address(), en.vms.Address(), extra)
	if en.settings == "" {
		en.settings = filepath.Join(GinkgoT().TempDir(), en.id+".yaml")
	}
	Expect(os.WriteFile(en.settings, []byte(text), 0o600)).To(Succeed())
}

// replaceSetting replaces the first occurrence of old in the settings file.
func (en *entryProcess) replaceSetting(old, text string) {
	raw, err := os.ReadFile(en.settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(raw)).To(ContainSubstring(old))
	Expect(os.WriteFile(en.settings, []byte(strings.Replace(string(raw), old, text, 1)), 0o600)).To(Succeed())
}

func (en *entryProcess) vm() ids.VM {
	return ids.VM{
		ID:               en.id,
		Kind:             ids.KindEntry,
		State:            ids.StateLive,
		Address:          en.callers,
		PeerAddress:      en.peer.Address(),
		Region:           "central-texas",
		AvailabilityZone: en.zone,
		Size:             4,
	}
}

// start starts the process. It may be called again after the process has ended.
func (en *entryProcess) start() {
	if en.log == nil {
		en.log = &syncBuffer{}
	}
	cmd := exec.Command(binary, "entry", "-settings", en.settings)
	cmd.Stderr = en.log
	cmd.Stdout = en.log
	Expect(cmd.Start()).To(Succeed())
	done := make(chan struct{})
	en.cmd = cmd
	en.done = done
	processWaiters.Go(func(context.Context) {
		_ = cmd.Wait()
		close(done)
	})
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			AddReportEntry("log of "+en.id, en.log.String(), ReportEntryVisibilityFailureOrVerbose)
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-done
	})
}

func (en *entryProcess) signal(sig syscall.Signal) {
	Expect(en.cmd.Process.Signal(sig)).To(Succeed())
}

// kill sends SIGKILL and waits for the end of the process.
func (en *entryProcess) kill() {
	en.signal(syscall.SIGKILL)
	<-en.done
}

func (en *entryProcess) awaitReady() {
	Eventually(func() error {
		rep, err := http.Get("http://" + en.operators + "/readyz")
		if err != nil {
			return err
		}
		defer rep.Body.Close()
		if rep.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", rep.StatusCode)
		}
		return nil
	}, "10s", "20ms").Should(Succeed(), "%s is not ready:\n%s", en.id, en.log)
}

// counter reads one counter of the entry, such as refusal_queue_full.
func (en *entryProcess) counter(name string) int64 {
	rep, err := http.Get("http://" + en.operators + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer rep.Body.Close()
	raw, err := io.ReadAll(rep.Body)
	Expect(err).NotTo(HaveOccurred())
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 2 && fields[0] == "oleanderwall_"+name {
			val, err := strconv.ParseInt(fields[1], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return val
		}
	}
	return 0
}

// command runs the binary with the arguments and returns its standard output.
func command(args ...string) (string, error) {
	var out, errs bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout = &out
	cmd.Stderr = &errs
	err := cmd.Run()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, errs.String())
	}
	return out.String(), err
}

func (cl *cluster) createService(name ids.ServiceName) {
	if name == "" || len(cl.entries) == 0 {
		return
	}
	_, err := command("service", "create", "-entry", "http://"+cl.entries[0].operators, "-name", string(name))
	Expect(err).NotTo(HaveOccurred())
	for _, en := range cl.entries {
		Eventually(func() string { return en.get("/v1/configuration") }, "5s", "20ms").Should(ContainSubstring(string(name)))
	}
}

// get sends a GET request to the operators' address and returns the body, or
// the text of the error.
func (en *entryProcess) get(path string) string {
	rep, err := http.Get("http://" + en.operators + path)
	if err != nil {
		return err.Error()
	}
	defer rep.Body.Close()
	raw, _ := io.ReadAll(rep.Body)
	return string(raw)
}

// reply is the answer of an entry to a caller.
type reply struct {
	status  int
	outcome string
	reason  string
	body    string
	header  http.Header
	err     error
	took    time.Duration
}

// call sends an HTTP request to the entry's address for callers.
func (en *entryProcess) call(method, path string, body any, header map[string]string) reply {
	raw, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, "http://"+en.callers+path, bytes.NewReader(raw))
	Expect(err).NotTo(HaveOccurred())
	for key, val := range header {
		req.Header.Set(key, val)
	}
	began := time.Now()
	rep, err := callerClient.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer rep.Body.Close()
	got, err := io.ReadAll(rep.Body)
	out := reply{
		status:  rep.StatusCode,
		outcome: rep.Header.Get("Oleanderwall-Outcome"),
		body:    string(got),
		header:  rep.Header,
		err:     err,
		took:    time.Since(began),
	}
	var eb struct {
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(got, &eb)
	out.reason = eb.Reason
	return out
}

var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
