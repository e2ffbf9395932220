package main

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/disk"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

const (
	processName       = "sequoialane-control"
	traceFlushTimeout = 2 * time.Second
)

// serve builds the process and runs it until ctx ends.
func serve(ctx context.Context, cfg config) error {
	flush, err := telemetry.SetupTracing(ctx, cfg.settings.Telemetry, processName)
	if err != nil {
		return trace.Wrap(err)
	}
	defer flushTraces(flush)
	// Opening the log may repair it, so it must not be opened while another
	// process writes it.
	lock, err := control.LockFolder(cfg.settings.DataFolder)
	if err != nil {
		return err
	}
	defer lock.Release()
	debug.SetMemoryLimit(callerconn.HeapLimit(cfg.settings.MemoryMB))
	injector := newInjector(cfg)
	group, err := do.Invoke[*consensus.Group](injector)
	if err != nil {
		return trace.Wrap(err)
	}
	defer group.Stop()
	process, err := do.Invoke[*control.Process](injector)
	if err != nil {
		return trace.Wrap(err)
	}
	return process.Run(ctx)
}

func flushTraces(flush func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	_ = flush(ctx)
}

func newInjector(cfg config) do.Injector {
	i := do.New()
	do.ProvideValue[sys.Clock](i, sys.RealClock{})
	do.ProvideValue(i, plan.NewStateMachine())
	do.Provide(i, func(do.Injector) (*zap.Logger, error) {
		log, err := telemetry.NewLogger(cfg.settings.Telemetry, processName)
		if err != nil {
			return nil, err
		}
		return log.With(zap.String("member", cfg.settings.Name)), nil
	})
	do.Provide(i, func(i do.Injector) (*consensus.Group, error) { return newGroup(i, cfg) })
	do.Provide(i, func(i do.Injector) (*control.Process, error) { return newProcess(i, cfg) })
	return i
}

func newGroup(i do.Injector, cfg config) (*consensus.Group, error) {
	dir, err := disk.Open(cfg.settings.DataFolder)
	if err != nil {
		return nil, err
	}
	return control.StartGroup(control.GroupOptions{
		Settings:     cfg.settings,
		Storage:      consensus.DiskStorage(dir),
		StateMachine: do.MustInvoke[*plan.StateMachine](i),
		FleetToken:   cfg.fleetToken,
		Clock:        do.MustInvoke[sys.Clock](i),
		Log:          do.MustInvoke[*zap.Logger](i),
	})
}

func newProcess(i do.Injector, cfg config) (*control.Process, error) {
	group := do.MustInvoke[*consensus.Group](i)
	return control.NewProcess(control.ProcessOptions{
		Settings:     cfg.settings,
		Group:        control.NewGroup(group),
		GroupHandler: group.Handler(),
		GroupStopped: group.Done(),

		TransferLeadership: group.TransferLeadership,

		Catalog:       do.MustInvoke[*plan.StateMachine](i),
		OperatorToken: cfg.operatorToken,
		FleetToken:    cfg.fleetToken,
		Clock:         do.MustInvoke[sys.Clock](i),
		Log:           do.MustInvoke[*zap.Logger](i),
	})
}
