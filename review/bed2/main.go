// Command review-bed-2 plays the cases of the second independent review. Each case
// starts the project's own entries as separate processes on loopback addresses, with
// small stand-ins of the platform's store and of the runners in this process, sends
// jobs as clients would, and checks one rule by what the clients, the runners and the
// store have seen.
//
// # Usage
//
//	target/review-bed-2 -case NAME -dir review/N
//
// The record of what was sent, answered and run is written to record.txt in the
// folder. With TROUBLE=0 in the environment the same is played without the
// disruption.
//
// # Errors
//
// The exit status is 0 if the rule held, 1 if it was broken, and 2 if the case could
// not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playTime bounds the play of a case.
const playTime = 115 * time.Second

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, bd *bed) error{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	program := flag.String("program", "target/oleanderwall", "the program of the entries")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, playTime)
	defer cancel()
	rec, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	bd, err := newBed(ctx, *program, rec)
	if err != nil {
		rec.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	bd.trouble = os.Getenv("TROUBLE") != "0"
	err = play(ctx, bd)
	bd.close()
	switch {
	case errors.Is(err, errBroken):
		rec.add("verdict: %v", err)
		fmt.Println("broken:", err)
		return exitBroken
	case err != nil:
		rec.add("verdict: not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	rec.add("verdict: the rule held")
	fmt.Println("held")
	return exitHeld
}
