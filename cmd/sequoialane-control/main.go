// Command sequoialane-control runs a control member: together with the other
// control members it stores plans and entitlements, serves the administration
// API, and sends changes to entries.
//
// Exit codes: 0 success, 1 failure, 2 invalid settings or usage error.
package main

import (
	"context"

	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/daemon"
	"github.com/sequoialane/sequoialane/internal/settings"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "development"

func main() { program().Main() }

func program() daemon.Program {
	return daemon.Program{
		Name:     "sequoialane-control",
		Usage:    "run a control member of the fleet",
		Version:  version,
		Defaults: control.DefaultSettings(),
		Check: func(file string) error {
			_, err := load(file)
			return err
		},
		Run: func(ctx context.Context, file string) error {
			cfg, err := load(file)
			if err != nil {
				return err
			}
			return serve(ctx, cfg)
		},
	}
}

// config holds the settings, and the tokens read from the files that they name.
type config struct {
	settings      *control.Settings
	operatorToken string
	fleetToken    string
}

func load(file string) (config, error) {
	cfg := config{settings: control.DefaultSettings()}
	if err := settings.Load(file, cfg.settings); err != nil {
		return config{}, err
	}
	var err error
	if cfg.operatorToken, err = settings.ReadToken(cfg.settings.OperatorTokenFile); err != nil {
		return config{}, err
	}
	if cfg.fleetToken, err = settings.ReadToken(cfg.settings.FleetTokenFile); err != nil {
		return config{}, err
	}
	return cfg, nil
}
