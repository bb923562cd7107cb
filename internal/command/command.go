// Package command is the command line of oleanderwall: the daemon and the
// commands for callers and operators.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
//
// # Errors
//
// The exit code is 0 on success, 1 when the command failed, and 2 when the
// command line is wrong. Errors name the fault, its place and the remedy.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// The exit codes of the command line.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type subcommand struct {
	summary string
	run     func(ctx context.Context, args []string, st Streams) error
}

var subcommands = map[string]subcommand{
	"entry":          {"run the daemon", runEntry},
	"fleet":          {"run the daemon on the users' platform", runFleet},
	"check":          {"check a settings file", runCheck},
	"job submit":     {"submit a job from a YAML or JSON file", runJobSubmit},
	"job get":        {"show a job", runJobGet},
	"job cancel":     {"cancel a job", runJobCancel},
	"request":        {"send one service request", runRequest},
	"config get":     {"show the configuration in force", runConfigGet},
	"config patch":   {"submit a patch against a numbered version", runConfigPatch},
	"config history": {"list the versions of the configuration", runConfigHistory},
	"config diff":    {"show what differs between two versions", runConfigDiff},
	"service create": {"create a service", runServiceCreate},
	"status":         {"show the status of an entry", runStatus},
	"drain":          {"make an entry leave gracefully", runDrain},
}

// usageError is a fault of the command line.
type usageError struct{ message string }

func (er *usageError) Error() string { return er.message }

// Run runs the command line and returns the exit code.
func Run(args []string, st Streams) int {
	sub, rest, err := findSubcommand(args)
	if err != nil {
		fmt.Fprintln(st.Err, "oleanderwall:", err)
		printUsage(st.Err)
		return exitUsage
	}
	err = sub.run(context.Background(), rest, st)
	var ue *usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &ue):
		fmt.Fprintln(st.Err, "oleanderwall:", err)
		return exitUsage
	}
	fmt.Fprintln(st.Err, "oleanderwall:", formatError(err))
	return exitFailed
}

// formatError formats the JSON error in an entry's answer as one line with its
// remedy. It returns other errors unchanged.
func formatError(err error) error {
	var se *jsonhttp.StatusError
	if !errors.As(err, &se) {
		return err
	}
	var body jsonhttp.ErrorBody
	if json.Unmarshal(se.Body, &body) != nil || body.Message == "" {
		return err
	}
	after := ""
	if body.RetryAfterMillis > 0 {
		after = fmt.Sprintf(" after %s", time.Duration(body.RetryAfterMillis)*time.Millisecond)
	}
	return fmt.Errorf("%s (%s, %s): %s%s", body.Message, body.Outcome, body.Reason, body.Remedy, after)
}

func findSubcommand(args []string) (subcommand, []string, error) {
	if len(args) == 0 {
		return subcommand{}, nil, errors.New("no command given")
	}
	if sub, ok := subcommands[args[0]]; ok {
		return sub, args[1:], nil
	}
	if len(args) > 1 {
		if sub, ok := subcommands[args[0]+" "+args[1]]; ok {
			return sub, args[2:], nil
		}
	}
	return subcommand{}, nil, fmt.Errorf("unknown command %q", strings.Join(args[:min(2, len(args))], " "))
}

func printUsage(out io.Writer) {
	fmt.Fprintln(out, "usage: oleanderwall COMMAND [FLAGS]; COMMAND -h lists the flags")
	names := make([]string, 0, len(subcommands))
	for name := range subcommands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "  %-16s %s\n", name, subcommands[name].summary)
	}
}

// newFlagSet returns a flag set that returns parse errors instead of exiting.
func newFlagSet(name string, st Streams) *flag.FlagSet {
	fs := flag.NewFlagSet("oleanderwall "+name, flag.ContinueOnError)
	fs.SetOutput(st.Err)
	return fs
}

func parseFlags(fs *flag.FlagSet, args []string) error {
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &usageError{message: err.Error()}
	}
	if fs.NArg() > 0 {
		return &usageError{message: fmt.Sprintf("unexpected argument %q; %s -h lists the flags", fs.Arg(0), fs.Name())}
	}
	return nil
}

func requireFlag(name, val string) error {
	if val == "" {
		return &usageError{message: fmt.Sprintf("flag -%s is required", name)}
	}
	return nil
}

const commandTimeout = 2 * time.Minute

func httpClient() *http.Client {
	return &http.Client{Timeout: commandTimeout}
}
