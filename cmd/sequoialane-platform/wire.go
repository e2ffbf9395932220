package main

import (
	"context"
	"runtime/debug"

	"github.com/gravitational/trace"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetcontrol"
	"github.com/sequoialane/sequoialane/internal/fleetentry"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/telemetry"
	"github.com/sequoialane/sequoialane/platform"
)

const (
	entryName   = "sequoialane-entry"
	controlName = "sequoialane-control"
)

func loadEntry(file string) (*fleetentry.Settings, error) {
	s := fleetentry.DefaultSettings()
	return s, settings.Load(file, s)
}

func loadControl(file string) (*fleetcontrol.Settings, error) {
	s := fleetcontrol.DefaultSettings()
	return s, settings.Load(file, s)
}

func checkEntry(_ context.Context, file string) error {
	_, err := loadEntry(file)
	return err
}

func checkControl(_ context.Context, file string) error {
	_, err := loadControl(file)
	return err
}

// runner is a process of either role, entry or control.
type runner interface {
	Run(ctx context.Context) error
}

func runEntry(ctx context.Context, file string) error {
	s, err := loadEntry(file)
	if err != nil {
		return err
	}
	return serve(ctx, file, s.Telemetry, entryName, s.Name, func(i do.Injector) (*fleetentry.Process, error) {
		debug.SetMemoryLimit(s.HeapLimit())
		return fleetentry.New(s, platform.EntryHandlers(), do.MustInvoke[sys.Clock](i), do.MustInvoke[*zap.Logger](i))
	}, func(p *fleetentry.Process) error {
		changed, err := loadEntry(file)
		if err == nil {
			p.SetSeeds(changed)
		}
		return err
	})
}

func runControl(ctx context.Context, file string) error {
	s, err := loadControl(file)
	if err != nil {
		return err
	}
	return serve(ctx, file, s.Telemetry, controlName, s.Name, func(i do.Injector) (*fleetcontrol.Process, error) {
		debug.SetMemoryLimit(s.HeapLimit())
		log := do.MustInvoke[*zap.Logger](i)
		return fleetcontrol.NewProcess(s, platform.ControlHandler(s.DataCentres, log), do.MustInvoke[sys.Clock](i), log)
	}, func(p *fleetcontrol.Process) error {
		changed, err := loadControl(file)
		if err == nil {
			p.SetSeeds(changed)
		}
		return err
	})
}

// serve builds a process and runs it until ctx ends. It calls reload on each
// SIGHUP and when the settings file has changed.
func serve[P runner](ctx context.Context, file string, t telemetry.Settings, role, name string, provide func(do.Injector) (P, error), reload func(P) error) error {
	log, flush, err := startTelemetry(ctx, t, role, name)
	if err != nil {
		return err
	}
	defer flush()
	i := do.New()
	do.ProvideValue(i, log)
	do.ProvideValue[sys.Clock](i, sys.RealClock{})
	do.Provide(i, provide)
	process, err := do.Invoke[P](i)
	if err != nil {
		return trace.Wrap(err)
	}
	r := reloader{file: file, signals: reloadSignals, clock: sys.RealClock{}, log: log, reload: func() error { return reload(process) }}
	go r.run()
	return process.Run(ctx)
}

// startTelemetry returns the logger, and a function that flushes buffered logs
// and spans.
func startTelemetry(ctx context.Context, s telemetry.Settings, process, name string) (*zap.Logger, func(), error) {
	log, err := telemetry.NewStdoutLogger(s, process)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	log = log.With(zap.String("name", name))
	stop, err := telemetry.SetupTracing(ctx, s, process)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return log, func() {
		if err := stop(context.WithoutCancel(ctx)); err != nil {
			log.Warn("exporting spans at shutdown failed", zap.Error(err))
		}
		_ = log.Sync()
	}, nil
}
