package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/ctl"
	"github.com/sequoialane/sequoialane/internal/settings"
)

const (
	flagControl   = "control"
	flagEntry     = "entry"
	flagTokenFile = "token-file"
	flagOutput    = "output"
	outputTable   = "table"
	outputJSON    = "json"
)

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagControl, Usage: "control members as `IP:PORT`, tried in order; comma-separated or repeated", Sources: cli.EnvVars("SEQUOIALANE_CONTROL")},
		&cli.StringSliceFlag{Name: flagEntry, Usage: "entries as `IP:PORT`, for members and upstreams; peer addresses for traffic and explain", Sources: cli.EnvVars("SEQUOIALANE_ENTRY")},
		&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` with the operators' token", Sources: cli.EnvVars("SEQUOIALANE_TOKEN_FILE")},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "table or json"},
	}
}

// session holds the client and the output settings given by the global flags.
type session struct {
	client *ctl.Client
	stdout io.Writer
	stderr io.Writer
	json   bool
}

// newSession reads the global flags. The parameter addresses is the name of the
// flag that lists the addresses to which the command sends requests.
func newSession(command *cli.Command, addresses string) (*session, error) {
	s, err := newOpenSession(command, addresses)
	if err != nil {
		return nil, err
	}
	file := command.String(flagTokenFile)
	if file == "" {
		return nil, usagef("--%s is required", flagTokenFile)
	}
	s.client.Token, err = settings.ReadToken(file)
	return s, err
}

// newOpenSession is newSession for addresses that ask for no token.
func newOpenSession(command *cli.Command, addresses string) (*session, error) {
	list := command.StringSlice(addresses)
	if len(list) == 0 {
		return nil, usagef("--%s is required", addresses)
	}
	output := command.String(flagOutput)
	if output != outputTable && output != outputJSON {
		return nil, usagef("--%s %q: want table or json", flagOutput, output)
	}
	root := command.Root()
	return &session{client: ctl.NewClient(list, ""), stdout: root.Writer, stderr: root.ErrWriter, json: output == outputJSON}, nil
}

// print writes value as JSON, or the heading and rows as a table.
func (s *session) print(value any, heading []string, rows [][]string) error {
	if s.json {
		return ctl.WriteJSON(s.stdout, value)
	}
	return ctl.WriteTable(s.stdout, heading, rows)
}

// usagef returns an error that wraps ctl.ErrUsage.
func usagef(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ctl.ErrUsage, fmt.Sprintf(format, args...))
}

// arguments returns the positional arguments. It returns a usage error unless
// there is one for each name.
func arguments(command *cli.Command, names ...string) ([]string, error) {
	got := command.Args().Slice()
	if len(got) != len(names) {
		return nil, usagef("%s: want %s", command.FullName(), strings.Join(names, " "))
	}
	return got, nil
}
