// Command sequoialane-entry runs an entry of the fleet: it accepts callers'
// requests, owns services of its region and stores claims.
//
// Exit codes: 0 success, 1 failure, 2 invalid settings or usage error.
package main

import (
	"context"

	"github.com/sequoialane/sequoialane/internal/daemon"
	"github.com/sequoialane/sequoialane/internal/entry"
	"github.com/sequoialane/sequoialane/internal/settings"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "development"

func main() { program().Main() }

func program() daemon.Program {
	return daemon.Program{
		Name:     "sequoialane-entry",
		Usage:    "run an entry of the fleet",
		Version:  version,
		Defaults: entry.DefaultSettings(),
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
	settings *entry.Settings
	tokens   entry.Tokens
}

func load(file string) (config, error) {
	cfg := config{settings: entry.DefaultSettings()}
	if err := settings.Load(file, cfg.settings); err != nil {
		return config{}, err
	}
	for _, token := range []struct {
		file  string
		value *string
	}{
		{cfg.settings.FleetTokenFile, &cfg.tokens.Fleet},
		{cfg.settings.UpstreamTokenFile, &cfg.tokens.Upstream},
		{cfg.settings.OperatorTokenFile, &cfg.tokens.Operator},
	} {
		var err error
		if *token.value, err = settings.ReadToken(token.file); err != nil {
			return config{}, err
		}
	}
	return cfg, nil
}
