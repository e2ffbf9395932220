package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/ctl"
)

func membersCommand() *cli.Command {
	return &cli.Command{Name: "members", Usage: "list the entries, as an entry sees them", Action: members}
}

func upstreamsCommand() *cli.Command {
	return &cli.Command{Name: "upstreams", Usage: "list the targets of the services that an entry owns", Action: upstreams}
}

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show the state of each control member", Action: status}
}

func trafficCommand() *cli.Command {
	return &cli.Command{Name: "traffic", Usage: "add up what processes, given as peer addresses, sent and received for each cause", Action: showTraffic}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "ask an entry of the platform, by its peer address, which target a request would get now, and why; nothing is sent or reserved",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.StringFlag{Name: "route", Usage: "`NAME` of the route in the routing document", Required: true},
			&cli.StringFlag{Name: "tenant", Usage: "`NAME` of the tenant"},
			&cli.IntFlag{Name: "bytes", Usage: "length of the body in `BYTES`"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
		},
		Action: explain,
	}
}

func explain(ctx context.Context, command *cli.Command) error {
	s, err := newOpenSession(command, flagEntry)
	if err != nil {
		return err
	}
	if command.Int("bytes") < 0 {
		return usagef("--bytes %d: want 0 or more", command.Int("bytes"))
	}
	e, err := s.client.Explain(ctx, ctl.ExplainQuery{
		Service: command.String("service"), Route: command.String("route"), Tenant: command.String("tenant"),
		Bytes: command.Int("bytes"), Path: command.String("path"),
	})
	if err != nil {
		return err
	}
	if !s.json {
		fmt.Fprintln(s.stdout, ctl.ExplanationText(e))
	}
	heading, rows := ctl.ExplanationTable(e)
	return s.print(e, heading, rows)
}

func members(ctx context.Context, command *cli.Command) error {
	s, err := newSession(command, flagEntry)
	if err != nil {
		return err
	}
	list, err := s.client.Members(ctx)
	if err != nil {
		return err
	}
	heading, rows := ctl.MemberTable(list)
	return s.print(list, heading, rows)
}

func upstreams(ctx context.Context, command *cli.Command) error {
	s, err := newSession(command, flagEntry)
	if err != nil {
		return err
	}
	list, err := s.client.Upstreams(ctx)
	if err != nil {
		return err
	}
	heading, rows := ctl.UpstreamTable(list)
	return s.print(list, heading, rows)
}

func showTraffic(ctx context.Context, command *cli.Command) error {
	s, err := newSession(command, flagEntry)
	if err != nil {
		return err
	}
	list, err := s.client.Traffic(ctx)
	if err != nil {
		return err
	}
	heading, rows := ctl.TrafficTable(list)
	return s.print(list, heading, rows)
}

// status queries each address. It fails only if none of them responds.
func status(ctx context.Context, command *cli.Command) error {
	s, err := newSession(command, flagControl)
	if err != nil {
		return err
	}
	var list []ctl.MemberStatus
	var failure error
	for _, address := range s.client.Addresses {
		var response controlapi.Status
		member := ctl.MemberStatus{Address: address}
		if err := s.client.GetFrom(ctx, address, "/v1/status", &response); err != nil {
			member.Error, failure = err.Error(), errors.Join(ctl.ErrUnreachable, err)
		} else {
			member.Status = &response
		}
		list = append(list, member)
	}
	heading, rows := ctl.StatusTable(list)
	if err := s.print(list, heading, rows); err != nil {
		return err
	}
	for _, member := range list {
		if member.Status != nil {
			return nil
		}
	}
	return failure
}
