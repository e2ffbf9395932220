package fleettest

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// faultKind names what happens to a process.
type faultKind string

const (
	faultKill      faultKind = "kill"      // SIGKILL, and a restart at the end
	faultFreeze    faultKind = "freeze"    // SIGSTOP, and SIGCONT at the end
	faultTerminate faultKind = "terminate" // SIGTERM, and a restart at the end
	faultGray      faultKind = "gray"      // a failure mode of an upstream
	faultErase     faultKind = "erase"     // a control member loses its data folder
)

// part names a kind of process.
type part string

const (
	partEntry    part = "entry"
	partUpstream part = "upstream"
	partControl  part = "control"
)

const (
	lanes         = 2 // faults at one time
	firstFault    = time.Second
	lastFault     = 17 * time.Second
	faultGapMin   = 100 * time.Millisecond
	faultGapMax   = time.Second
	faultLenMin   = 300 * time.Millisecond
	faultLenMax   = 4 * time.Second
	eraseOneIn    = 4 // control faults
	grayPerAction = 2 // weight of gray modes against each signal
)

var grayModes = []string{
	`{"mode":"slow","factor":20}`,
	`{"mode":"errors","share":0.5}`,
	`{"mode":"silent"}`,
	`{"mode":"truncated","share":0.5}`,
	`{"mode":"crossed"}`,
	`{"mode":"doubled"}`,
	`{"mode":"shed","share":0.7}`,
	`{"mode":"flapping","period":"400ms"}`,
}

// scheduled is one fault.
type scheduled struct {
	at     time.Duration // from the start of the load
	length time.Duration
	kind   faultKind
	part   part
	index  int // of the process among its part
	mode   string
}

func (s scheduled) String() string {
	return fmt.Sprintf("%6dms for %4dms: %s %s-%d %s", s.at.Milliseconds(), s.length.Milliseconds(), s.kind, s.part, s.index, s.mode)
}

// sizes are the numbers of processes.
type sizes struct{ controls, entries, upstreams int }

// makeSchedule returns the faults of each lane, in order of time. The faults
// of a lane do not overlap.
func makeSchedule(seed uint64, n sizes) [][]scheduled {
	list := make([][]scheduled, lanes)
	for lane := range list {
		rng := rand.New(rand.NewPCG(seed, uint64(lane)))
		at := firstFault
		for {
			at += between(rng, faultGapMin, faultGapMax)
			if at > lastFault {
				break
			}
			f := randomFault(rng, n)
			f.at = at
			f.length = between(rng, faultLenMin, faultLenMax)
			at += f.length
			list[lane] = append(list[lane], f)
		}
	}
	return list
}

func randomFault(rng *rand.Rand, n sizes) scheduled {
	kinds := []faultKind{faultKill, faultFreeze, faultTerminate}
	f := scheduled{kind: kinds[rng.IntN(len(kinds))]}
	switch rng.IntN(3) {
	case 0:
		f.part, f.index = partEntry, rng.IntN(n.entries)
	case 1:
		f.part, f.index = partControl, rng.IntN(n.controls)
		if rng.IntN(eraseOneIn) == 0 {
			f.kind = faultErase
		}
	default:
		f.part, f.index = partUpstream, rng.IntN(n.upstreams)
		if rng.IntN(len(kinds)+grayPerAction) < grayPerAction {
			f.kind, f.mode = faultGray, grayModes[rng.IntN(len(grayModes))]
		}
	}
	return f
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
