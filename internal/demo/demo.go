// Package demo runs entries and the stand-ins of the platform in one process,
// and sends them the job and the requests of the examples directory through
// the command line of oleanderwall.
//
// # Usage
//
//	err := demo.Run(os.Stdout, os.Stderr, "examples")
package demo

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/command"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/local"
	"github.com/oleanderwall/oleanderwall/internal/logline"
	"github.com/oleanderwall/oleanderwall/internal/standin"
)

const service = "fitdesk"

var zones = []ids.AvailabilityZone{"austin-north", "waco-east", "temple-south"}

type exampleRequest struct {
	Team       string `yaml:"team"`
	Kind       string `yaml:"kind"`
	Repeatable bool   `yaml:"repeatable"`
	Body       string `yaml:"body"`
}

type demo struct {
	out, errs io.Writer
	entries   local.Entries
}

// Run runs the demo with the files of the examples directory.
func Run(out, errs io.Writer, examples string) error {
	fleet, err := standin.StartFleet(standin.FleetOptions{
		Table:         standin.TableOptions{CommitDelay: 5 * time.Millisecond, WritesPerSecond: 500, ReadsPerSecond: 2000},
		VMLag:         time.Second,
		Service:       service,
		Zones:         zones,
		Targets:       6,
		Slots:         8,
		Connections:   64,
		Workers:       6,
		WorkerCores:   64,
		WorkerMemory:  128 << 10,
		WorkersInRack: 2,
		UsageLag:      time.Second,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	entries, err := local.Start(local.Options{Fleet: fleet, Zones: zones, Log: logline.New(errs, zerolog.WarnLevel)})
	if err != nil {
		return err
	}
	defer entries.Close()
	de := &demo{out: out, errs: errs, entries: entries}
	if err := de.runExamples(examples); err != nil {
		return err
	}
	return de.printCounters()
}

func (de *demo) runExamples(dir string) error {
	callers := "http://" + de.entries[0].CallerAddress()
	operators := "http://" + de.entries[0].OperatorAddress()
	if err := de.command("service", "create", "-entry", operators, "-name", service); err != nil {
		return err
	}
	if !local.WaitFor(de.serviceInForce) {
		return fmt.Errorf("service %s is not in force at every entry", service)
	}
	if err := de.command("job", "submit", "-entry", callers, "-file", filepath.Join(dir, "job.yaml")); err != nil {
		return err
	}
	raw, err := os.ReadFile(filepath.Join(dir, "requests.yaml"))
	if err != nil {
		return fmt.Errorf("read the example requests: %w", err)
	}
	var reqs []exampleRequest
	if err := yaml.UnmarshalWithOptions(raw, &reqs, yaml.Strict()); err != nil {
		return fmt.Errorf("requests.yaml: %w", err)
	}
	for _, req := range reqs {
		err := de.command("request", "-entry", callers, "-service", service, "-team", req.Team,
			"-kind", req.Kind, fmt.Sprintf("-repeatable=%t", req.Repeatable), "-body", req.Body)
		if err != nil {
			return err
		}
	}
	return nil
}

var errCommandFailed = errors.New("the command failed; see its message above")

func (de *demo) command(args ...string) error {
	fmt.Fprintln(de.out, "$ oleanderwall", strings.Join(args, " "))
	if code := command.Run(args, command.Streams{Out: de.out, Err: de.errs}); code != 0 {
		return fmt.Errorf("oleanderwall %v: %w", args[:1], errCommandFailed)
	}
	return nil
}

func (de *demo) printCounters() error {
	for _, en := range de.entries {
		fmt.Fprintf(de.out, "# counters of the entry at %s\n", en.CallerAddress())
		if err := en.Counters().Write(de.out); err != nil {
			return err
		}
	}
	return nil
}

func (de *demo) serviceInForce() bool {
	for _, en := range de.entries {
		if _, ok := en.Configuration().Document.Services[service]; !ok {
			return false
		}
	}
	return true
}
