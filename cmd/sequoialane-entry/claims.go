package main

import (
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/entry"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

func newClaims(i do.Injector) (*entry.Claims, error) {
	cfg := do.MustInvoke[config](i)
	return entry.StartClaims(entry.ClaimOptions{
		Groups: cfg.settings.ClaimGroups,
		Self:   do.MustInvoke[*membership.Table](i).Self(),
		Token:  cfg.tokens.Fleet,
		Limits: limits(cfg),
		Clock:  do.MustInvoke[sys.Clock](i),
		Pool:   do.MustInvoke[*workerpool.Pool](i),
		Log:    do.MustInvoke[*zap.Logger](i),
	})
}

func limits(cfg config) claims.Limits {
	limits := claims.DefaultLimits()
	limits.Retention = cfg.settings.KeyRetention.Std()
	limits.ClockError = cfg.settings.ClockError.Std()
	return limits
}
