package standin

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/vmlist"
)

// Run runs one stand-in until SIGTERM or SIGINT: table, objects, vm-list, worker
// or target. It prints "listening ADDRESS" when the stand-in serves requests.
func Run(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintln(errs, "usage: oleanderwall-standin table|objects|vm-list|worker|target [FLAGS]")
		return 2
	}
	srv, err := serveRole(args[0], args[1:], errs)
	if err != nil {
		fmt.Fprintln(errs, "oleanderwall-standin:", err)
		return 2
	}
	fmt.Fprintln(out, "listening", srv.Address())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	srv.Close()
	return 0
}

func serveRole(role string, args []string, errs io.Writer) (*Server, error) {
	fs := flag.NewFlagSet("oleanderwall-standin "+role, flag.ContinueOnError)
	fs.SetOutput(errs)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	build, ok := map[string]func(fs *flag.FlagSet) func() (http.Handler, error){
		"table":   tableRole,
		"objects": objectsRole,
		"vm-list": vmListRole,
		"worker":  workerRole,
		"target":  targetRole,
	}[role]
	if !ok {
		return nil, fmt.Errorf("unknown stand-in %q; use table, objects, vm-list, worker or target", role)
	}
	newHandler := build(fs)
	if err := fs.Parse(args); err != nil {
		return nil, err
	}
	handler, err := newHandler()
	if err != nil {
		return nil, err
	}
	if ta, ok := handler.(*Target); ok {
		return ServeTarget(*listen, ta)
	}
	return Serve(*listen, handler)
}

func tableRole(fs *flag.FlagSet) func() (http.Handler, error) {
	delay := fs.Duration("commit-delay", 5*time.Millisecond, "duration of a synced write")
	writes := fs.Float64("writes-per-second", 500, "limit of the write rate, 0 for none")
	reads := fs.Float64("reads-per-second", 2000, "limit of the read rate, 0 for none")
	return func() (http.Handler, error) {
		return NewTable(TableOptions{CommitDelay: *delay, WritesPerSecond: *writes, ReadsPerSecond: *reads}), nil
	}
}

func objectsRole(*flag.FlagSet) func() (http.Handler, error) {
	return func() (http.Handler, error) { return NewObjects(), nil }
}

func vmListRole(fs *flag.FlagSet) func() (http.Handler, error) {
	lag := fs.Duration("lag", 2*time.Second, "delay until changes become visible")
	file := fs.String("file", "", `JSON file {"vms":[…]} with the initial list`)
	return func() (http.Handler, error) {
		vl := NewVMList(*lag)
		if *file == "" {
			return vl, nil
		}
		raw, err := os.ReadFile(*file)
		if err != nil {
			return nil, err
		}
		var list vmlist.List
		if err := json.Unmarshal(raw, &list); err != nil {
			return nil, fmt.Errorf("%s: %w", *file, err)
		}
		vl.Set(list.VMs)
		return vl, nil
	}
}

func workerRole(fs *flag.FlagSet) func() (http.Handler, error) {
	id := fs.String("id", "worker-1", "id of the worker")
	processors := fs.Float64("processors", 64, "cores")
	memory := fs.Int64("memory-mb", 128<<10, "memory in MB")
	accelerators := fs.Int("accelerators", 0, "accelerators")
	lag := fs.Duration("usage-lag", time.Second, "lag of usage reports")
	return func() (http.Handler, error) {
		return NewWorker(WorkerOptions{
			ID:           *id,
			Processors:   ids.Cores(*processors),
			Memory:       ids.Megabytes(*memory),
			Accelerators: *accelerators,
			UsageLag:     *lag,
		}), nil
	}
}

func targetRole(fs *flag.FlagSet) func() (http.Handler, error) {
	id := fs.String("id", "target-1", "id of the target")
	slots := fs.Int("slots", 8, "maximum number of concurrent requests")
	connections := fs.Int("connections", 64, "maximum number of open connections")
	speed := fs.Float64("speed", 1, "divisor of run times")
	return func() (http.Handler, error) {
		return NewTarget(TargetOptions{ID: *id, Slots: *slots, Connections: *connections, Speed: *speed}), nil
	}
}
