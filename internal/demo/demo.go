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
	"github.com/oleanderwall/oleanderwall/internal/entry"
	"github.com/oleanderwall/oleanderwall/internal/logline"
	"github.com/oleanderwall/oleanderwall/internal/platform"
	"github.com/oleanderwall/oleanderwall/internal/settings"
	"github.com/oleanderwall/oleanderwall/internal/standin"
)

const (
	readyTimeout = 10 * time.Second
	service      = "fitdesk"
)

var zones = []platform.AvailabilityZone{"austin-north", "waco-east", "temple-south"}

type exampleRequest struct {
	Team       string `yaml:"team"`
	Kind       string `yaml:"kind"`
	Repeatable bool   `yaml:"repeatable"`
	Body       string `yaml:"body"`
}

type demo struct {
	out, errs io.Writer
	fleet     *standin.Fleet
	entries   []*entry.Entry
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
	de := &demo{out: out, errs: errs, fleet: fleet}
	defer de.close()
	if err := de.startEntries(); err != nil {
		return err
	}
	if err := de.runExamples(examples); err != nil {
		return err
	}
	return de.printCounters()
}

func (de *demo) startEntries() error {
	log := logline.New(de.errs, zerolog.WarnLevel)
	var vms []platform.VM
	for i, zone := range zones {
		set := settings.Default()
		set.EntryID = platform.EntryID(fmt.Sprintf("entry-%d", i+1))
		set.AvailabilityZone = zone
		set.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
		set.Platform = settings.Platform{
			Table:   de.fleet.TableServer.URL(),
			Objects: de.fleet.ObjectsServer.URL(),
			VMList:  de.fleet.VMServer.URL(),
		}
		set.Timing.BalancerNotice = settings.NewDuration(0)
		en, err := entry.New(set, log)
		if err != nil {
			return err
		}
		de.entries = append(de.entries, en)
		vms = append(vms, platform.VM{
			ID:               string(set.EntryID),
			Kind:             platform.KindEntry,
			State:            platform.StateLive,
			Address:          en.CallerAddress(),
			PeerAddress:      en.PeerAddress(),
			AvailabilityZone: zone,
			Size:             set.Size,
		})
	}
	de.fleet.VMs.Change(func(list []platform.VM) []platform.VM { return append(list, vms...) })
	for _, en := range de.entries {
		en.Start()
	}
	return de.waitFor("every entry to be ready", func() bool {
		for _, en := range de.entries {
			if en.Ready() != nil {
				return false
			}
		}
		return true
	})
}

func (de *demo) waitFor(what string, done func() bool) error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("waited %s for %s", readyTimeout, what)
}

func (de *demo) runExamples(dir string) error {
	callers := "http://" + de.entries[0].CallerAddress()
	operators := "http://" + de.entries[0].OperatorAddress()
	if err := de.command("service", "create", "-entry", operators, "-name", service); err != nil {
		return err
	}
	err := de.waitFor("the service to be in force", func() bool {
		for _, en := range de.entries {
			if _, ok := en.Configuration().Document.Services[service]; !ok {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
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

var errCommand = errors.New("the command failed; its message stands above")

func (de *demo) command(args ...string) error {
	fmt.Fprintln(de.out, "$ oleanderwall", strings.Join(args, " "))
	if code := command.Run(args, command.Streams{Out: de.out, Err: de.errs}); code != 0 {
		return fmt.Errorf("oleanderwall %v: %w", args[:1], errCommand)
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

func (de *demo) close() {
	for _, en := range de.entries {
		en.Close()
	}
}
