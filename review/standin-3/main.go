// Command standin plays the cases of review/ that need a script: the platform, the
// operators, the targets and the clients around the project's own programs.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// smallCore is the number of machines that serve control on the small sites.
const smallCore = 5

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// cases by name. Each returns an exit code.
var cases = map[string]func(rec *record, trouble bool) int{
	"core-killed-early": coreKilledEarly,
	"slow-upload-drain": slowUploadDrain,
	"resolve-names":     resolveNames,
	"late-reader":       lateReader,
	"two-disks-lost":    twoDisksLost,
	"options-asterisk":  optionsAsterisk,
	"quoted-name":       quotedName,
	"version-zero":      versionZero,
}

// running is the fleet whose processes must end with this one.
var running struct {
	mu    sync.Mutex
	fleet *fleet
}

// stopOnExit ends the processes of the fleet if this process is told to end.
func stopOnExit(f *fleet) {
	running.mu.Lock()
	defer running.mu.Unlock()
	running.fleet = f
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-told
		f.stop()
		os.Exit(noRun)
	}()
}

func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	running.mu.Lock()
	f := running.fleet
	running.mu.Unlock()
	if f != nil {
		go f.stop() // the caller may hold a lock that it needs
		time.Sleep(time.Second)
	}
	os.Exit(noRun)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun(fmt.Errorf("usage: standin CASE RECORD"))
	}
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	code := cases[os.Args[1]](rec, trouble)
	rec.add("%s", map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", noRun: "the case could not run"}[code])
	os.Exit(code)
}
