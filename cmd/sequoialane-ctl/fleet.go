package main

import (
	"context"
	"errors"

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
