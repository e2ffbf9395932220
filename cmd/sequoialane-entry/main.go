// Command sequoialane-entry runs an entry of the fleet: it takes callers'
// requests, owns services of its region and keeps claims.
//
// Exit codes: 0 success, 1 failure, 2 wrong settings or wrong use.
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
			l, err := load(file)
			if err != nil {
				return err
			}
			return serve(ctx, l)
		},
	}
}

// loaded holds the settings and the tokens in the files they name.
type loaded struct {
	settings *entry.Settings
	tokens   entry.Tokens
}

func load(file string) (loaded, error) {
	l := loaded{settings: entry.DefaultSettings()}
	if err := settings.Load(file, l.settings); err != nil {
		return loaded{}, err
	}
	for _, token := range []struct {
		file  string
		value *string
	}{
		{l.settings.FleetTokenFile, &l.tokens.Fleet},
		{l.settings.UpstreamTokenFile, &l.tokens.Upstream},
		{l.settings.OperatorTokenFile, &l.tokens.Operator},
	} {
		var err error
		if *token.value, err = settings.ReadToken(token.file); err != nil {
			return loaded{}, err
		}
	}
	return l, nil
}
