package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Positions in /proc/<pid>/stat after the closing bracket of the name.
const (
	userTicks   = 11
	systemTicks = 12
	residentPos = 21
	tick        = 10 * time.Millisecond // USER_HZ is 100 on Linux
)

// usage is what a process has used so far.
type usage struct {
	cpu    time.Duration
	memory int64 // bytes, resident
}

func usageOf(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, trace.ConvertSystemError(err)
	}
	text := string(raw)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= residentPos {
		return usage{}, trace.BadParameter("unexpected format of /proc/%d/stat", pid)
	}
	var values [residentPos + 1]int64
	for _, i := range []int{userTicks, systemTicks, residentPos} {
		values[i], err = strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return usage{}, trace.Wrap(err)
		}
	}
	return usage{
		cpu:    time.Duration(values[userTicks]+values[systemTicks]) * tick,
		memory: values[residentPos] * int64(os.Getpagesize()),
	}, nil
}
