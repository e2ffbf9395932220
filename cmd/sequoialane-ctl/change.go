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

// changeFlags returns more with the flags that let an operator resend a change
// whose response was lost.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringFlag{Name: flagChangeID, Usage: "`ID` of the change; default: a new one"},
		&cli.Uint64Flag{Name: flagBaseVersion, Usage: "catalog `VERSION` that the change was made from; default: the version just read"},
	)
}

// submit sets the id and base version of the change, sends it, and prints the
// result.
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

// send prints the id and base version before it sends the change, so that the
// operator can resend the change after any failure.
func (s *session) send(ctx context.Context, ch plan.Change) (plan.Result, error) {
	fmt.Fprintf(s.stderr, "change id %s, base version %d\n", ch.ID, ch.BaseVersion)
	return s.client.Submit(ctx, ch)
}

// acceptedChange is the JSON output of an accepted change.
type acceptedChange struct {
	ChangeID string `json:"change_id"`
	plan.Result
}

func (s *session) printResult(ch plan.Change, result plan.Result) error {
	row := []string{ch.ID, string(result.Outcome), fmt.Sprint(result.Version)}
	return s.print(acceptedChange{ch.ID, result}, []string{"CHANGE", "OUTCOME", "CATALOG"}, [][]string{row})
}
