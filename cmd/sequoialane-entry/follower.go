package main

import "github.com/sequoialane/sequoialane/internal/configsync"

func openFollower(options configsync.Options, _ string) (*configsync.Follower, error) {
	return configsync.New(options), nil
}
