// Command oleanderwall-bench measures the system under open-loop load and
// prints one line of key=value pairs for each run: "requests" compares the
// naive and the present policy for service requests on one seed, "jobs"
// measures admission and starts of jobs, and "capacity" measures what idle
// entries spend on control at several sizes and fits a line to each figure.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/bench"
)

func main() {
	err := errors.New("usage: oleanderwall-bench requests|jobs|capacity [FLAGS]; requests -h lists the flags")
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case "requests":
			err = requests(os.Args[2:])
		case "jobs":
			err = jobs(os.Args[2:])
		case "capacity":
			err = capacity(os.Args[2:])
		}
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "oleanderwall-bench:", err)
		os.Exit(1)
	}
}

func requests(args []string) error {
	opt := bench.DefaultRequests()
	fs := flag.NewFlagSet("oleanderwall-bench requests", flag.ContinueOnError)
	fs.StringVar(&opt.User, "user", opt.User, "user whose load is simulated: authority or fundacion")
	fs.StringVar(&opt.Scenario, "scenario", opt.Scenario, "all, or one of "+strings.Join(bench.Scenarios(), ", "))
	fs.Float64Var(&opt.Load, "load", opt.Load, "offered load as a share of the capacity")
	fs.DurationVar(&opt.Duration, "duration", opt.Duration, "length of the run, 1s to 10m")
	fs.Uint64Var(&opt.Seed, "seed", opt.Seed, "seed of arrivals, lengths and speeds")
	fs.IntVar(&opt.Entries, "entries", opt.Entries, "number of entries")
	fs.IntVar(&opt.Targets, "targets", opt.Targets, "number of targets")
	fs.IntVar(&opt.Slots, "slots", opt.Slots, "slots of each target")
	policies := fs.String("policy", strings.Join(opt.Policies, ","), "policies to run, separated by commas")
	plot := fs.String("plot", "", "SVG file for the curves")
	verbose := fs.Bool("verbose", false, "print the warnings of the entries")
	if err := fs.Parse(args); err != nil {
		return err
	}
	opt.Policies = strings.Split(*policies, ",")
	opt.Log = logOutput(*verbose)
	names := []string{opt.Scenario}
	if opt.Scenario == "all" {
		names = bench.Scenarios()
	}
	var all []*bench.Report
	for _, name := range names {
		opt.Scenario = name
		reports, err := bench.Run(context.Background(), opt)
		for _, rep := range reports {
			if err := rep.Write(os.Stdout); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
		all = append(all, reports...)
	}
	if *plot == "" {
		return nil
	}
	return bench.Plot(*plot, all)
}

func jobs(args []string) error {
	opt := bench.DefaultJobs()
	fs := flag.NewFlagSet("oleanderwall-bench jobs", flag.ContinueOnError)
	fs.Float64Var(&opt.StartsPerSecond, "starts", opt.StartsPerSecond, "task starts per second")
	fs.IntVar(&opt.TasksPerJob, "tasks", opt.TasksPerJob, "tasks of each job, 1 to 540")
	fs.Int64Var(&opt.TaskMillis, "task-millis", opt.TaskMillis, "run time of a task in milliseconds")
	fs.DurationVar(&opt.Duration, "duration", opt.Duration, "length of the run, 1s to 10m")
	fs.IntVar(&opt.Entries, "entries", opt.Entries, "number of entries")
	fs.IntVar(&opt.Workers, "workers", opt.Workers, "number of workers")
	fs.IntVar(&opt.Teams, "teams", opt.Teams, "number of teams")
	fs.DurationVar(&opt.CommitDelay, "commit-delay", opt.CommitDelay, "duration of a synced table write")
	profile := fs.String("cpuprofile", "", "file for a processor profile of the run")
	fs.Float64Var(&opt.WritesPerSecond, "table-writes", opt.WritesPerSecond, "limit of table writes per second, 0 for none")
	verbose := fs.Bool("verbose", false, "print the warnings of the entries")
	if err := fs.Parse(args); err != nil {
		return err
	}
	opt.Log = logOutput(*verbose)
	if *profile != "" {
		file, err := os.Create(*profile)
		if err != nil {
			return fmt.Errorf("create the profile: %w", err)
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return fmt.Errorf("start the profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	rep, err := bench.RunJobs(context.Background(), opt)
	if err != nil {
		return err
	}
	return rep.Write(os.Stdout)
}

func capacity(args []string) error {
	opt := bench.CapacityOptions{Out: os.Stdout}
	fs := flag.NewFlagSet("oleanderwall-bench capacity", flag.ContinueOnError)
	fs.DurationVar(&opt.Duration, "duration", 5*time.Second, "length of each measurement")
	fs.BoolVar(&opt.Jobs, "jobs", true, "measure jobs of several sizes as well")
	if err := fs.Parse(args); err != nil {
		return err
	}
	return bench.Capacity(context.Background(), opt)
}

func logOutput(verbose bool) io.Writer {
	if verbose {
		return os.Stderr
	}
	return io.Discard
}
