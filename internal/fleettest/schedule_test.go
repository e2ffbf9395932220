package fleettest

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// faultKind is what happens to a process.
type faultKind string

const (
	faultKill      faultKind = "kill"      // SIGKILL; restarted at the end
	faultFreeze    faultKind = "freeze"    // SIGSTOP; SIGCONT at the end
	faultTerminate faultKind = "terminate" // SIGTERM; restarted at the end
	faultGray      faultKind = "gray"      // an upstream gets a failure mode
	faultErase     faultKind = "erase"     // a control member loses its data folder
)

// role is the kind of a process.
type role string

const (
	roleEntry    role = "entry"
	roleUpstream role = "upstream"
	roleControl  role = "control"
)

const (
	lanes           = 2 // number of concurrent faults
	firstFaultAfter = time.Second
	lastFaultUntil  = 17 * time.Second
	faultGapMin     = 100 * time.Millisecond
	faultGapMax     = time.Second
	faultLengthMin  = 300 * time.Millisecond
	faultLengthMax  = 4 * time.Second
	eraseOneOf      = 4 // one of this many faults of control is an erase
	grayWeight      = 2 // weight of gray modes, where each signal has weight 1
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

// scheduledFault is one fault of a schedule.
type scheduledFault struct {
	at     time.Duration // since the start of the load
	length time.Duration
	kind   faultKind
	role   role
	index  int    // of the process among those of its role
	mode   string // JSON body for SetMode, if kind is faultGray
}

func (s scheduledFault) String() string {
	return fmt.Sprintf("%6dms for %4dms: %s %s-%d %s", s.at.Milliseconds(), s.length.Milliseconds(), s.kind, s.role, s.index, s.mode)
}

// fleetSize holds the numbers of processes of a fleet.
type fleetSize struct{ controls, entries, upstreams int }

// makeSchedule returns the faults of each lane, sorted by time. The faults of one
// lane do not overlap; the lanes run concurrently.
func makeSchedule(seed uint64, n fleetSize) [][]scheduledFault {
	list := make([][]scheduledFault, lanes)
	for lane := range list {
		rng := rand.New(rand.NewPCG(seed, uint64(lane)))
		at := firstFaultAfter
		for {
			at += between(rng, faultGapMin, faultGapMax)
			if at > lastFaultUntil {
				break
			}
			f := randomFault(rng, n)
			f.at = at
			f.length = between(rng, faultLengthMin, faultLengthMax)
			at += f.length
			list[lane] = append(list[lane], f)
		}
	}
	return list
}

func randomFault(rng *rand.Rand, n fleetSize) scheduledFault {
	kinds := []faultKind{faultKill, faultFreeze, faultTerminate}
	f := scheduledFault{kind: kinds[rng.IntN(len(kinds))]}
	switch rng.IntN(3) {
	case 0:
		f.role, f.index = roleEntry, rng.IntN(n.entries)
	case 1:
		f.role, f.index = roleControl, rng.IntN(n.controls)
		if rng.IntN(eraseOneOf) == 0 {
			f.kind = faultErase
		}
	default:
		f.role, f.index = roleUpstream, rng.IntN(n.upstreams)
		if rng.IntN(len(kinds)+grayWeight) < grayWeight {
			f.kind, f.mode = faultGray, grayModes[rng.IntN(len(grayModes))]
		}
	}
	return f
}

// between returns a random duration from low to high, high excluded.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
