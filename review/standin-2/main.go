// Command standin-2 runs the scripts of the second review: it starts the project's
// programs and plays the operator, the targets and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// maxTime is how long a case may run.
const maxTime = 110 * time.Second

// caseRun is what a case has at hand.
type caseRun struct {
	fleet   *fleet
	rec     *record
	runs    *runs
	trouble bool
}

var cases = map[string]func(*caseRun) (int, error){
	"escaped-slash": escapedSlash,
	"born-back":     bornBack,
}

func main() {
	// The processes that this one starts end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin-2 CASE REPOSITORY FOLDER")
		os.Exit(notRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(play func(*caseRun) (int, error), root, folder string) int {
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		rec.say("the case couldn't run: %v", err)
		return notRun
	}
	defer os.RemoveAll(temporary)
	c := &caseRun{rec: rec, runs: &runs{}, trouble: os.Getenv("TROUBLE") != "0"}
	c.fleet = &fleet{root: root, folder: temporary, rec: rec}
	defer c.fleet.stop()
	go c.endEarly(temporary)
	if err := c.fleet.startAll(); err != nil {
		rec.say("the case couldn't run: %v", err)
		return notRun
	}
	result, err := play(c)
	if err != nil {
		rec.say("the case couldn't run: %v", err)
		return notRun
	}
	rec.say("result %d (0: the rule held, 1: it was broken), disruption %v", result, c.trouble)
	return result
}

// endEarly ends the case, as one that couldn't run, if it takes too long or is asked to end.
func (c *caseRun) endEarly(temporary string) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-asked:
	case <-time.After(maxTime):
	}
	c.rec.say("the case couldn't run: it was ended early")
	c.fleet.stop()
	_ = os.RemoveAll(temporary)
	os.Exit(notRun)
}

// begin puts the configuration, starts targets and waits until requests can be sent.
func (c *caseRun) begin(text string, service string, perZone int) ([]*target, error) {
	if err := c.fleet.put(text, 15*time.Second); err != nil {
		return nil, err
	}
	var all []*target
	for _, z := range zones {
		for n := range perZone {
			t, err := newTarget(c.fleet, c.rec, c.runs, fmt.Sprintf("i-%s-%d", z, n+1), service, z, "127.0.0.1:0", time.Now().UnixMilli())
			if err != nil {
				return nil, err
			}
			if !t.announce("ready") {
				return nil, fmt.Errorf("no member takes the announcement of %s", t.id)
			}
			go t.beat()
			all = append(all, t)
		}
	}
	if err := c.fleet.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // connectivity_window_ms: all machines are in touch
	return all, nil
}

// addresses returns where the clients of each zone connect, by the directory.
func (c *caseRun) addresses(host string) ([]string, error) {
	var all []string
	for _, e := range c.fleet.entries {
		a, err := c.fleet.resolve(e, host)
		if err != nil {
			return nil, err
		}
		all = append(all, a[0])
	}
	return all, nil
}
