//go:build review

// Package standin3 plays the scripts of the review: it serves a stand-in of the users'
// platform, starts processes of the system, plays clients and operator, and checks one rule.
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package standin3

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
)

// verdict describes how a rule was broken; empty if it held.
type verdict []string

var cases = map[string]func(w *world, trouble bool) verdict{
	"gone-with-start":      goneWithStart,
	"lowered-maximum":      loweredMaximum,
	"failed-on-label":      failedOnLabel,
	"late-second-life":     lateInSecondLife,
	"inherited-late-start": inheritedLateStart,
	"short-trials":         shortTrials,
	"failed-for-done":      failedForDone,
	"unmet-reservation":    unmetReservation,
}

// TestMain plays the case that the command line names, in place of tests.
func TestMain(*testing.M) {
	// The processes are ended with the thread that started them.
	runtime.LockOSThread()
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "", "the file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fatal("unknown case %q", *name)
	}
	file, err := os.Create(*recordPath)
	if err != nil {
		fatal("record: %v", err)
	}
	record := bufio.NewWriter(file)
	w := newWorld(record)
	broken := play(w, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		w.note("RULE BROKEN: %s", line)
		fmt.Println("rule broken:", line)
	}
	if len(broken) == 0 {
		w.note("the rule held")
		fmt.Println("the rule held")
	}
	w.close()
	w.mu.Lock()
	_ = record.Flush()
	_ = file.Close()
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}
