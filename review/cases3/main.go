// Package main plays the cases of the third review. Each case starts the entries of
// a small deployment as processes, with stand-ins of the platform's store, the
// runners and the clients, and checks one rule of the users' pages.
//
// # Usage
//
//	target/review-3 NUMBER FOLDER
//
// It writes record.txt to the folder. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case couldn't run. With TROUBLE=0 it leaves out the
// disruption.
package main

import (
	"context"
	"errors"
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

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// caseTime bounds the time of a case.
const caseTime = 110 * time.Second

// cases are the cases by number. They return an error if the rule was broken or the
// case couldn't run.
var cases = map[string]func(fl *deployment, trouble bool) error{
	"11": switchedService,
	"12": removedRoute,
	"13": leftCaller,
	"14": cutOwner,
	"15": lostHolder,
}

func main() {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 NUMBER FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(number, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTime)
	defer cancel()
	fl, err := newDeployment(ctx, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fl.close()
	err = cases[number](fl, os.Getenv("TROUBLE") != "0")
	status := exitHeld
	switch {
	case errors.Is(err, errBroken):
		status = exitBroken
	case err != nil:
		status = exitNotRun
	}
	text := "the rule held"
	if err != nil {
		text = err.Error()
	}
	rec.write("%s", text)
	fmt.Printf("case %s: %s\n", number, text)
	return status
}
