package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/ctl"
	"github.com/sequoialane/sequoialane/internal/plan"
)

const (
	flagChangeID    = "change-id"
	flagBaseVersion = "base-version"
)

// changeFlags let an operator repeat a change whose answer was lost.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringFlag{Name: flagChangeID, Usage: "`ID` of the change; default: a new one"},
		&cli.Uint64Flag{Name: flagBaseVersion, Usage: "catalog `VERSION` that the change was made from; default: the version just read"},
	)
}

// submit completes the change, prints its id and base version, and sends it.
func (s *session) submit(ctx context.Context, command *cli.Command, ch plan.Change, readVersion uint64) error {
	ch.ID = command.String(flagChangeID)
	if ch.ID == "" {
		ch.ID = ctl.NewChangeID()
	}
	ch.BaseVersion = readVersion
	if command.IsSet(flagBaseVersion) {
		ch.BaseVersion = command.Uint64(flagBaseVersion)
	}
	result, err := s.send(ctx, ch)
	if err != nil {
		return err
	}
	return s.printResult(ch, result)
}

// send prints the id before the change leaves, so that it can be sent again
// whatever happens.
func (s *session) send(ctx context.Context, ch plan.Change) (plan.Result, error) {
	fmt.Fprintf(s.stderr, "change id %s, base version %d\n", ch.ID, ch.BaseVersion)
	return s.client.Submit(ctx, ch)
}

// acceptedChange is printed as JSON.
type acceptedChange struct {
	ChangeID string `json:"change_id"`
	plan.Result
}

func (s *session) printResult(ch plan.Change, result plan.Result) error {
	row := []string{ch.ID, string(result.Outcome), fmt.Sprint(result.Version)}
	return s.print(acceptedChange{ch.ID, result}, []string{"CHANGE", "OUTCOME", "CATALOG"}, [][]string{row})
}
