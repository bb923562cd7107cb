package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/oleanderwall/oleanderwall/internal/standin"
)

// CapacityOptions describe measurements of idle entries.
type CapacityOptions struct {
	// Duration is the length of each measurement.
	Duration time.Duration
	// Jobs adds measurements of jobs of several sizes.
	Jobs bool
	Out  io.Writer
}

// usage is the control overhead of one idle entry.
type usage struct {
	// cores is the processor use as a number of cores.
	cores         float64
	heapMegabytes float64
	peerBytes     float64
	platformBytes float64
	tableReads    float64
	tableWrites   float64
}

// metric is one named value of a usage.
type metric struct {
	name  string
	value func(us usage) float64
}

var metrics = []metric{
	{"processor-percent", func(us usage) float64 { return 100 * us.cores }},
	{"heap-mb", func(us usage) float64 { return us.heapMegabytes }},
	{"peer-bytes-per-second", func(us usage) float64 { return us.peerBytes }},
	{"platform-bytes-per-second", func(us usage) float64 { return us.platformBytes }},
	{"table-reads-per-second", func(us usage) float64 { return us.tableReads }},
	{"table-writes-per-second", func(us usage) float64 { return us.tableWrites }},
}

// fleetSize is one point of a series.
type fleetSize struct {
	entries, targets, workers int
}

type series struct {
	// dimension names what varies between the points.
	dimension string
	x         func(sz fleetSize) int
	points    []fleetSize
	// design is the value of x at the design size.
	design int
}

// The design size of a user: 7 entries today, 21 for three regions; 560
// targets and 560 workers.
var capacitySeries = []series{
	{"entries", func(sz fleetSize) int { return sz.entries }, []fleetSize{{3, 50, 50}, {7, 50, 50}, {14, 50, 50}, {21, 50, 50}}, 21},
	{"targets", func(sz fleetSize) int { return sz.targets }, []fleetSize{{4, 50, 0}, {4, 200, 0}, {4, 400, 0}, {4, 560, 0}}, 560},
	{"workers", func(sz fleetSize) int { return sz.workers }, []fleetSize{{4, 0, 50}, {4, 0, 200}, {4, 0, 400}, {4, 0, 560}}, 560},
}

// Capacity measures the control overhead of idle entries at several fleet sizes
// and fits a line to each metric.
func Capacity(ctx context.Context, opt CapacityOptions) error {
	for _, se := range capacitySeries {
		if err := runSeries(opt, se); err != nil {
			return err
		}
	}
	if !opt.Jobs {
		return nil
	}
	return measureJobs(ctx, opt)
}

func runSeries(opt CapacityOptions, se series) error {
	xs := make([]float64, 0, len(se.points))
	all := make([]usage, 0, len(se.points))
	for _, sz := range se.points {
		us, err := measureIdle(sz, opt.Duration)
		if err != nil {
			return fmt.Errorf("%d entries, %d targets, %d workers: %w", sz.entries, sz.targets, sz.workers, err)
		}
		xs = append(xs, float64(se.x(sz)))
		all = append(all, us)
		fmt.Fprintf(opt.Out, "series=%s entries=%d targets=%d workers=%d", se.dimension, sz.entries, sz.targets, sz.workers)
		for _, me := range metrics {
			fmt.Fprintf(opt.Out, " %s=%.3f", me.name, me.value(us))
		}
		fmt.Fprintln(opt.Out)
	}
	for _, me := range metrics {
		ys := make([]float64, 0, len(all))
		for _, us := range all {
			ys = append(ys, me.value(us))
		}
		writeFit(opt.Out, se.dimension, me.name, xs, ys, float64(se.design))
	}
	return nil
}

// writeFit writes the least-squares line through the points, the root mean
// square of the residuals, and the value of the line at the design size.
func writeFit(out io.Writer, dimension, name string, xs, ys []float64, design float64) {
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for i, x := range xs {
		residual := ys[i] - base - slope*x
		sum += residual * residual
	}
	fmt.Fprintf(out, "fit series=%s figure=%s base=%.4f slope=%.6f residual-rms=%.4f at=%.0f value=%.3f\n",
		dimension, name, base, slope, math.Sqrt(sum/float64(len(xs))), design, base+slope*design)
}

func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func heapInUse() float64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapInuse) / (1 << 20)
}

// measureIdle starts a fleet, measures the process without entries and with
// them, and divides the difference by the number of entries. The difference
// includes the work of the stand-ins for the entries' traffic, so the results
// are upper bounds.
func measureIdle(sz fleetSize, duration time.Duration) (usage, error) {
	opt := DefaultRequests()
	opt.Entries = sz.entries
	usr := users[opt.User]
	fleet, err := standin.StartFleet(standin.FleetOptions{
		Table:         standin.TableOptions{CommitDelay: 5 * time.Millisecond},
		VMLag:         opt.VMLag,
		Service:       usr.service,
		Zones:         usr.zones,
		Targets:       sz.targets,
		Slots:         opt.Slots,
		Connections:   opt.Slots * 8,
		Workers:       sz.workers,
		WorkerCores:   64,
		WorkerMemory:  128 << 10,
		WorkersInRack: 8,
		UsageLag:      time.Second,
	})
	if err != nil {
		return usage{}, err
	}
	sy := &system{opt: opt, usr: usr, fleet: fleet}
	sy.closers = append(sy.closers, fleet.Close)
	defer sy.close()
	if err := sy.createService(); err != nil {
		return usage{}, err
	}
	heapBefore := heapInUse()
	began := processorTime()
	time.Sleep(duration)
	baseline := processorTime() - began
	if err := sy.startPresent(); err != nil {
		return usage{}, err
	}
	return sy.measureUsage(duration, baseline, heapBefore), nil
}

func (sy *system) measureUsage(duration, baseline time.Duration, heapBefore float64) usage {
	counts, peers, platform := sy.fleet.Table.Counts(), sy.bytes("peer"), sy.bytes("platform")
	began := processorTime()
	time.Sleep(duration)
	used := processorTime() - began - baseline
	after := sy.fleet.Table.Counts()
	share := 1 / (float64(len(sy.entries)) * duration.Seconds())
	return usage{
		cores:         used.Seconds() * share,
		heapMegabytes: (heapInUse() - heapBefore) / float64(len(sy.entries)),
		peerBytes:     float64(sy.bytes("peer")-peers) * share,
		platformBytes: float64(sy.bytes("platform")-platform) * share,
		tableReads:    float64(after.Reads-counts.Reads) * share,
		tableWrites:   float64(after.Commits-counts.Commits) * share,
	}
}

// bytes returns the total traffic of all entries with one kind of partner, peer
// or platform.
func (sy *system) bytes(partner string) int64 {
	sum := int64(0)
	for _, en := range sy.entries {
		sum += en.Counters().GaugeValue(partner+".bytes-received") + en.Counters().GaugeValue(partner+".bytes-sent")
	}
	return sum
}

// measureJobs measures the table traffic and the processor time of jobs of
// several sizes.
func measureJobs(ctx context.Context, opt CapacityOptions) error {
	for _, tasks := range []int{1, 10, 100, 540} {
		jo := DefaultJobs()
		jo.TasksPerJob = tasks
		jo.StartsPerSecond = 2000
		jo.Duration = opt.Duration
		before := processorTime()
		rep, err := RunJobs(ctx, jo)
		if err != nil {
			return fmt.Errorf("jobs of %d tasks: %w", tasks, err)
		}
		if err := rep.Write(opt.Out); err != nil {
			return err
		}
		used := processorTime() - before
		fmt.Fprintf(opt.Out, "series=jobs tasks-per-job=%d processor-millis-per-1000-starts=%.1f\n",
			tasks, float64(used.Milliseconds())*1000/float64(max(1, rep.Starts)))
	}
	return nil
}
