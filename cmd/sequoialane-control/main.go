// Command sequoialane-control runs a control member: it keeps the plans and
// entitlements with the other control members, answers operators, and feeds
// entries.
//
// Exit codes: 0 success, 1 failure, 2 wrong settings or wrong use.
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
	settings      *control.Settings
	operatorToken string
	fleetToken    string
}

func load(file string) (loaded, error) {
	l := loaded{settings: control.DefaultSettings()}
	if err := settings.Load(file, l.settings); err != nil {
		return loaded{}, err
	}
	var err error
	if l.operatorToken, err = settings.ReadToken(l.settings.OperatorTokenFile); err != nil {
		return loaded{}, err
	}
	if l.fleetToken, err = settings.ReadToken(l.settings.FleetTokenFile); err != nil {
		return loaded{}, err
	}
	return l, nil
}
