package main

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

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

// serve wires the process and runs it until ctx ends.
func serve(ctx context.Context, l loaded) error {
	flush, err := telemetry.SetupTracing(ctx, l.settings.Telemetry, processName)
	if err != nil {
		return trace.Wrap(err)
	}
	defer flushTraces(flush)
	// The log must not be opened, and so perhaps repaired, while another process
	// writes it.
	lock, err := control.LockFolder(l.settings.DataFolder)
	if err != nil {
		return err
	}
	defer lock.Release()
	injector := newInjector(l)
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

func newInjector(l loaded) do.Injector {
	i := do.New()
	do.ProvideValue[sys.Clock](i, sys.RealClock{})
	do.ProvideValue(i, plan.NewMachine())
	do.Provide(i, func(do.Injector) (*zap.Logger, error) {
		log, err := telemetry.NewLogger(l.settings.Telemetry, processName)
		if err != nil {
			return nil, err
		}
		return log.With(zap.String("member", l.settings.Name)), nil
	})
	do.Provide(i, func(i do.Injector) (*consensus.Group, error) { return newGroup(i, l) })
	do.Provide(i, func(i do.Injector) (*control.Process, error) { return newProcess(i, l) })
	return i
}

func newGroup(i do.Injector, l loaded) (*consensus.Group, error) {
	dir, err := disk.Open(l.settings.DataFolder)
	if err != nil {
		return nil, err
	}
	return control.StartGroup(control.GroupOptions{
		Settings:     l.settings,
		Storage:      consensus.DiskStorage(dir),
		StateMachine: do.MustInvoke[*plan.Machine](i),
		FleetToken:   l.fleetToken,
		Clock:        do.MustInvoke[sys.Clock](i),
		Log:          do.MustInvoke[*zap.Logger](i),
	})
}

func newProcess(i do.Injector, l loaded) (*control.Process, error) {
	group := do.MustInvoke[*consensus.Group](i)
	return control.NewProcess(control.ProcessOptions{
		Settings:     l.settings,
		Group:        control.NewGroup(group),
		GroupHandler: group.Handler(),
		GroupStopped: group.Done(),

		TransferLeadership: group.TransferLeadership,

		Catalog:       do.MustInvoke[*plan.Machine](i),
		OperatorToken: l.operatorToken,
		FleetToken:    l.fleetToken,
		Clock:         do.MustInvoke[sys.Clock](i),
		Log:           do.MustInvoke[*zap.Logger](i),
	})
}
