package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Defaults of Config.
const (
	defaultCallLimit   = 10 * time.Minute
	defaultHolderCheck = 250 * time.Millisecond
	settleTimeout      = 3 * time.Second // then the claims client repeats the call by itself
)

// Config holds what a Dispatcher needs from outside.
type Config struct {
	Claims     claims.Client
	Sender     Sender
	Clock      sys.Clock
	Log        *zap.Logger
	Holder     string                   // claims.HolderName of this entry
	HolderDead func(holder string) bool // whether membership shows that a holder has ended
	NewAttempt func() string            // unique names of attempts
	Limits     claims.Limits
	CallLimit  time.Duration // longest upstream call of a non-idempotent request; 0: 10 minutes
	// HolderCheck is how often a resend that waits looks whether the holder of
	// the claim has died; 0: 250 ms.
	HolderCheck time.Duration
}

// Dispatcher runs requests at their owner. It is safe for concurrent use.
type Dispatcher struct {
	cfg Config

	mu      sync.Mutex
	active  int           // requests and background work not yet ended
	allDone chan struct{} // closed when active falls to 0; nil if nobody waits
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Claims == nil || cfg.Sender == nil || cfg.Clock == nil || cfg.HolderDead == nil || cfg.NewAttempt == nil {
		panic("dispatch: incomplete configuration")
	}
	cfg.Limits.Check()
	if cfg.CallLimit == 0 {
		cfg.CallLimit = defaultCallLimit
	}
	if cfg.HolderCheck == 0 {
		cfg.HolderCheck = defaultHolderCheck
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Dispatcher{cfg: cfg}
}

// Run runs a request and returns what the caller is told. ctx ends when the
// caller has gone. A non-idempotent request that has been sent goes on after
// Run has returned.
func (d *Dispatcher) Run(ctx context.Context, s Scheduler, r Request) Result {
	d.enter()
	defer d.leave()
	ctx, span := telemetry.Start(ctx, "dispatch")
	defer span.End()
	var result Result
	if r.Idempotent {
		result = d.runIdempotent(ctx, s, r)
	} else {
		result = d.runKeyed(ctx, s, r)
	}
	if result.Err != nil && !result.ClaimChecked {
		result.Err = unchecked(r, result.Err)
	}
	countRequest(r, result)
	return result
}

// unchecked weakens not-run to unknown for a request with a key whose claim
// was not consulted: it may be a resend of a request that ran. No request
// without a key, with a malformed key or with the content of another request
// was ever accepted under that form, so those refusals stay.
func unchecked(r Request, e *fault.Error) *fault.Error {
	switch e.Kind {
	case fault.KeyRequired, fault.KeyConflict, fault.KeyInvalid:
		return e
	}
	if r.Key != "" && e.Effect == fault.NotRun {
		return e.WithEffect(fault.Unknown)
	}
	return e
}

// callerContext ends when the caller has gone or its deadline has passed.
func (d *Dispatcher) callerContext(ctx context.Context, r Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, r.Deadline.Sub(d.cfg.Clock.Now()))
}

func (d *Dispatcher) enter() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
}

func (d *Dispatcher) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.active < 0 {
		panic("dispatch: more work ended than began")
	}
	if d.active == 0 && d.allDone != nil {
		close(d.allDone)
		d.allDone = nil
	}
}

// Drain waits until no request is running, including those whose caller has
// gone, or until ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) error {
	for {
		done := d.whenDone()
		if done == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-done:
		}
	}
}

func (d *Dispatcher) whenDone() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == 0 {
		return nil
	}
	if d.allDone == nil {
		d.allDone = make(chan struct{})
	}
	return d.allDone
}

// background runs f while Drain waits for it. The caller must be inside enter
// and leave.
func (d *Dispatcher) background(f func()) {
	d.enter()
	go func() {
		defer d.leave()
		f()
	}()
}
