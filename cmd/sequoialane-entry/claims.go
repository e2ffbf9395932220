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
	l := do.MustInvoke[loaded](i)
	return entry.StartClaims(entry.ClaimOptions{
		Groups: l.settings.ClaimGroups,
		Self:   do.MustInvoke[*membership.Table](i).Self(),
		Token:  l.tokens.Fleet,
		Limits: limits(l),
		Clock:  do.MustInvoke[sys.Clock](i),
		Pool:   do.MustInvoke[*workerpool.Pool](i),
		Log:    do.MustInvoke[*zap.Logger](i),
	})
}

func limits(l loaded) claims.Limits {
	limits := claims.DefaultLimits()
	limits.Retention = l.settings.KeyRetention.Std()
	limits.ClockError = l.settings.ClockError.Std()
	return limits
}
