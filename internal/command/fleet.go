package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/fleet"
	"github.com/oleanderwall/oleanderwall/internal/intake"
	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/platform"
)

// The timing of a shutdown on the users' platform.
const (
	// balancerNotice is how long the balancer may send new connections after
	// the entry is no longer ready: two probes at intervals of 1 s, and a margin.
	balancerNotice = 2500 * time.Millisecond
	// exitMargin is the part of the grace time that is reserved for the exit:
	// removing the row in the store takes up to 200 ms, and everything takes five
	// times as long on a slowed VM.
	exitMargin = 700 * time.Millisecond
	// settingsPoll is the interval at which the settings file is read again,
	// since it may change without a signal.
	settingsPoll = time.Second
	// gcPercent lets the heap grow to three times the live heap, which is a few
	// megabytes. On a VM with a tenth of a core, one collection delays answers by
	// tens of milliseconds.
	gcPercent = 200
	// memoryPercent is the share of the memory limit at which the garbage
	// collector works harder. The program itself takes about 12 MB besides the
	// memory of the runtime, which exceeds its soft limit by some megabytes while
	// the processor is busy.
	memoryPercent = 60
)

// runFleet runs an entry on the users' platform until SIGTERM or SIGINT.
func runFleet(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("fleet", st)
	file := fs.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	profile := fs.Bool("profile", false, "serve profiles of the process at /debug/pprof/ of the metrics address")
	var limits intake.Limits
	limits.Flags(fs)
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := limits.Check(); err != nil {
		return &usageError{message: err.Error()}
	}
	if *file == "" {
		return &usageError{message: "no settings file: set " + platform.SettingsVariable + " or give -settings"}
	}
	set, err := platform.LoadSettings(*file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if set.Memory > 0 {
		debug.SetMemoryLimit(set.Memory * memoryPercent / 100)
	}
	limits.MemoryBytes, limits.Descriptors = set.Memory, set.Descriptors
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	cnt := counter.New()
	log := fleet.NewLogger(st.Out, cnt)
	defer log.Close()
	cl := platform.NewClient(set.Store, set.Advice)
	defer cl.Close()
	dm := fleet.New(set.Options(), cl, cl, log, cnt)
	if err := dm.Start(); err != nil {
		return err
	}
	defer dm.Close()
	guard := intake.New(limits, cnt, log.Log)
	servers, err := startServers(ctx, set, dm, guard, cnt, log, *profile)
	if err != nil {
		return err
	}
	defer servers.close()
	grp := group.New(ctx)
	defer grp.Close()
	watch := settingsWatcher{path: *file, log: log}
	watch.set.Store(&set)
	grp.Every(settingsPoll, func(context.Context) { watch.reload("poll") })
	for sig := range signals {
		if sig == syscall.SIGHUP {
			watch.reload("signal")
			continue
		}
		log.Log("shutdown-started", "signal", sig.String())
		break
	}
	servers.shutdown(ctx, dm, watch.set.Load().Grace-exitMargin)
	return nil
}

// settingsWatcher reloads the settings file when it has changed.
type settingsWatcher struct {
	path string
	log  *fleet.Logger
	set  atomic.Pointer[platform.Settings]
}

// reload reads the settings again. A change of addresses or identity has no
// effect on the running process; the platform restarts a process whose addresses
// change.
func (wa *settingsWatcher) reload(why string) {
	set, err := platform.LoadSettings(wa.path)
	if err != nil {
		wa.log.Log("settings-unreadable", "reason", why, "error", err.Error())
		return
	}
	if old := wa.set.Load(); *old != set {
		wa.log.Log("settings-changed", "reason", why, "grace-ms", set.Grace.Milliseconds())
		wa.set.Store(&set)
	}
}

// fleetServers are the HTTP servers of an entry.
type fleetServers struct {
	callers *http.Server
	ready   *http.Server
	metrics *http.Server
	grp     *group.Group
	log     *fleet.Logger
}

func startServers(ctx context.Context, set platform.Settings, dm *fleet.Daemon, guard *intake.Guard, cnt *counter.Set, log *fleet.Logger, profile bool) (*fleetServers, error) {
	ca := platform.NewCallerAPI(dm, set.Jobs, cnt)
	rt := chi.NewRouter()
	rt.Get("/metrics", func(wr http.ResponseWriter, _ *http.Request) {
		if err := cnt.Write(wr); err != nil {
			log.Log("metrics-failed", "error", err.Error())
		}
	})
	if profile {
		rt.HandleFunc("/debug/pprof/*", pprof.Index)
		rt.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	limits := guard.Limits()
	side := intake.Options{Connections: limits.SideConnections, ReplaceOldest: true}
	fl := &fleetServers{
		callers: ca.Server(limits.HeaderTime, limits.IdleTime),
		ready:   &http.Server{Handler: ca.ReadyRoutes(), ReadHeaderTimeout: limits.HeaderTime},
		metrics: &http.Server{Handler: rt, ReadHeaderTimeout: limits.HeaderTime},
		grp:     group.New(ctx),
		log:     log,
	}
	for _, sv := range []struct {
		srv     *http.Server
		address string
		opt     intake.Options
	}{
		{fl.callers, set.Callers, intake.Options{Connections: limits.Connections, HeaderBytes: ca.HeaderBytes}},
		{fl.ready, set.Ready, side},
		{fl.metrics, set.Metrics, side},
	} {
		cfg := net.ListenConfig{}
		lis, err := cfg.Listen(ctx, "tcp", sv.address)
		if err != nil {
			fl.close()
			return nil, fmt.Errorf("listen on %s: %w", sv.address, err)
		}
		lis = guard.Guard(sv.srv, lis, sv.opt)
		fl.grp.Go(func(context.Context) {
			if err := sv.srv.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
				log.Log("server-failed", "address", sv.address, "error", err.Error())
			}
		})
	}
	return fl, nil
}

// shutdown hands the workers over, waits until the balancer sends no new
// connections, and answers the requests that were already read, all within limit.
func (fl *fleetServers) shutdown(ctx context.Context, dm *fleet.Daemon, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	drain := group.New(ctx)
	defer drain.Close()
	drain.Go(func(ctx context.Context) { dm.Drain(ctx) })
	fl.callers.SetKeepAlivesEnabled(false)
	group.Sleep(ctx, balancerNotice)
	if err := fl.callers.Shutdown(ctx); err != nil {
		fl.log.Log("shutdown-incomplete", "error", err.Error())
	}
	drain.Wait()
}

// close stops the servers without waiting for requests.
func (fl *fleetServers) close() {
	for _, srv := range []*http.Server{fl.callers, fl.ready, fl.metrics} {
		if err := srv.Close(); err != nil {
			fl.log.Log("server-close-failed", "error", err.Error())
		}
	}
	fl.grp.Close()
}
