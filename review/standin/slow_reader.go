package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// residentMB returns the memory of a process in MB, as the kernel reports it.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// zeros is a body of the given length.
type zeros struct{ left int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left <= 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), z.left)
	clear(p[:n])
	z.left -= n
	return int(n), nil
}

func uploads(ctx context.Context, f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.addControl(zone, true)
	}
	for _, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		f.addEntry(zone)
	}
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	routes := []route{{host: "surveys.example", name: "upload", kind: "upload", prefix: "/surveys/", service: "vistorias", objectiveMS: 800, timeoutMS: 5000, attempts: 2}}
	if status, _ := f.put(1, configuration(1, routes, []string{"vistorias"}), 20*time.Second); status != 200 {
		return cannotRun, errors.New("the first configuration was not acknowledged")
	}
	for i, zone := range []string{"norte-a", "centro-a", "sul-a"} {
		if _, err := f.startTarget(ctx, "i-"+itoa(int64(i)), "vistorias", zone, 2, 150*time.Millisecond); err != nil {
			return cannotRun, err
		}
	}
	sleep(ctx, 4*time.Second)
	size := int64(envInt("SIZE_MB", 20)) << 20
	count := envInt("COUNT", 5)
	peak := 0
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				peak = max(peak, residentMB(f.entries[0].pid()))
			}
		}
	}()
	c := newClients(f)
	for round := range envInt("ROUNDS", 3) {
		var wg sync.WaitGroup
		for range count {
			wg.Go(func() {
				o := c.send("POST", f.entries[0].address(f.ports.front), "surveys.example", "/surveys/1", &zeros{size}, size, 5*time.Second)
				f.record.add("client: status %d served %v in %v %s", o.status, o.served, o.took, o.err)
			})
		}
		wg.Wait()
		f.record.add("round %d peak %d MB", round, peak)
		sleep(ctx, time.Second)
	}
	close(stop)
	return held, nil
}
