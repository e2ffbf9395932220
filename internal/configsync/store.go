package configsync

import "github.com/sequoialane/sequoialane/internal/plan"

// store keeps the copy of the catalog in the data folder.
type store struct{}

func (*store) save(*plan.Snapshot) error { return nil }
