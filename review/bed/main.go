package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit bounds a play, with what it takes to end it.
const playLimit = 112 * time.Second

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. A case returns errBroken if its rule was broken.
var cases = map[string]func(bd *bed, trouble bool) error{
	"many-steps":   playManySteps,
	"other-kind":   playOtherKind,
	"lasting-left": playLastingLeft,
	"refused":      playRefused,
	"route":        playRouteRemoved,
	"task-fails":   playTaskFails,
	"gang":         playGang,
	"foreign-row":  playForeignRow,
	"cancel-lost":  playCancelLost,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file to write the record to")
	flag.Parse()
	fn := cases[*name]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	bd, err := newBed(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	result := make(chan error, 2)
	trouble := os.Getenv("TROUBLE") != "0"
	bd.grp.Every(playLimit, func(context.Context) { result <- errors.New("the play took too long") })
	bd.grp.Go(func(context.Context) {
		bd.rec.sayf("case %s trouble=%t", *name, trouble)
		result <- fn(bd, trouble)
	})
	select {
	case err = <-result:
	case sig := <-signals:
		err = fmt.Errorf("ended by %s", sig)
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
		bd.rec.sayf("BROKEN: %v", err)
	case err != nil:
		code = exitNotRun
		bd.rec.sayf("not run: %v", err)
	default:
		bd.rec.sayf("the rule held")
	}
	bd.close()
	return code
}
