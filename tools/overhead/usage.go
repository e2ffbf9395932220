package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Indexes of fields in /proc/<pid>/stat after the closing bracket of the name, and
// the unit of the CPU times.
const (
	userTicksField     = 11
	systemTicksField   = 12
	residentPagesField = 21
	clockTick          = 10 * time.Millisecond // USER_HZ is 100 on Linux
)

// usage is the CPU time and memory of a process.
type usage struct {
	cpu    time.Duration
	memory int64 // resident, in bytes
}

func readUsage(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, trace.ConvertSystemError(err)
	}
	text := string(raw)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= residentPagesField {
		return usage{}, trace.BadParameter("unexpected format of /proc/%d/stat", pid)
	}
	var values [residentPagesField + 1]int64
	for _, i := range []int{userTicksField, systemTicksField, residentPagesField} {
		values[i], err = strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return usage{}, trace.Wrap(err)
		}
	}
	return usage{
		cpu:    time.Duration(values[userTicksField]+values[systemTicksField]) * clockTick,
		memory: values[residentPagesField] * int64(os.Getpagesize()),
	}, nil
}
