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
	defaultCallLimit           = 10 * time.Minute
	defaultHolderCheckInterval = 250 * time.Millisecond
	claimReportTimeout         = 3 * time.Second // after it, the claims client retries the call by itself
)

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	Claims       claims.Client
	Sender       Sender
	Clock        sys.Clock
	Log          *zap.Logger
	Holder       string                   // claims.HolderName of this entry
	HolderDead   func(holder string) bool // reports whether the membership shows that the holder is no longer running
	NewAttemptID func() string            // returns a unique attempt id
	Limits       claims.Limits
	CallLimit    time.Duration // longest upstream call of a non-idempotent request; 0: 10 minutes
	// HolderCheckInterval is how often a waiting resend checks whether the holder
	// of the claim has died; 0: 250 ms.
	HolderCheckInterval time.Duration
}

// Dispatcher runs requests on the entry that owns their service. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg Config

	mu     sync.Mutex
	active int           // requests and background tasks that have not ended
	idle   chan struct{} // closed when active reaches 0; nil if Drain is not waiting
}

// New returns a Dispatcher. It panics if a required field of the configuration is
// missing.
func New(cfg Config) *Dispatcher {
	if cfg.Claims == nil || cfg.Sender == nil || cfg.Clock == nil || cfg.HolderDead == nil || cfg.NewAttemptID == nil {
		panic("dispatch: incomplete configuration")
	}
	cfg.Limits.MustBeValid()
	if cfg.CallLimit == 0 {
		cfg.CallLimit = defaultCallLimit
	}
	if cfg.HolderCheckInterval == 0 {
		cfg.HolderCheckInterval = defaultHolderCheckInterval
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Dispatcher{cfg: cfg}
}

// Run runs a request and returns the response or error for the caller. ctx
// must end when the caller disconnects. A non-idempotent request that was sent
// to a target continues after Run has returned.
func (d *Dispatcher) Run(ctx context.Context, s Scheduler, r Request) Result {
	d.beginWork()
	defer d.endWork()
	ctx, span := telemetry.StartSpan(ctx, "dispatch")
	defer span.End()
	var result Result
	if r.Idempotent {
		result = d.runIdempotent(ctx, s, r)
	} else {
		result = d.runKeyed(ctx, s, r)
	}
	if result.Err != nil && !result.ClaimChecked {
		result.Err = weakenUncheckedEffect(r, result.Err)
	}
	countRequest(r, result)
	return result
}

// weakenUncheckedEffect changes the effect not-run to unknown for a request with
// a key whose claim was not checked, because it may be a resend of a request that
// ran. Rejections of requests without a key, with a malformed key or with other
// content than the first request of the key stay not-run: such a request was
// never accepted.
func weakenUncheckedEffect(r Request, e *fault.Error) *fault.Error {
	switch e.Kind {
	case fault.KeyRequired, fault.KeyConflict, fault.KeyInvalid:
		return e
	}
	if r.Key != "" && e.Effect == fault.NotRun {
		return e.WithEffect(fault.Unknown)
	}
	return e
}

// callerContext returns a context that ends when the caller disconnects or the
// deadline of the request passes.
func (d *Dispatcher) callerContext(ctx context.Context, r Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, r.Deadline.Sub(d.cfg.Clock.Now()))
}

// beginWork makes Drain wait for one more task, until endWork is called.
func (d *Dispatcher) beginWork() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
}

func (d *Dispatcher) endWork() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.active < 0 {
		panic("dispatch: endWork called more often than beginWork")
	}
	if d.active == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// Drain waits until no request is running, including those whose caller has
// disconnected. It returns the error of ctx if ctx ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	for {
		idle := d.idleChan()
		if idle == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle:
		}
	}
}

// idleChan returns a channel that is closed when no work is left, or nil if there
// is none now.
func (d *Dispatcher) idleChan() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == 0 {
		return nil
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	return d.idle
}

// background runs f on its own goroutine and makes Drain wait for it. The caller
// must be between beginWork and endWork.
func (d *Dispatcher) background(f func()) {
	d.beginWork()
	go func() {
		defer d.endWork()
		f()
	}()
}
