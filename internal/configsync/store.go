package configsync

import (
	"bytes"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/catalogfeed"
	"github.com/sequoialane/sequoialane/internal/disk"
	"github.com/sequoialane/sequoialane/internal/plan"
)

const (
	copyName    = "catalog.copy"
	newCopyName = "catalog.copy.new"
	// saveInterval bounds how often the copy is written. Compressing 93,000
	// plans takes about half a second of a core.
	saveInterval = time.Minute
)

// store keeps a copy of the catalog in the data folder.
type store struct{ dir disk.Dir }

// save replaces the stored copy. The old one stays until the new one is
// durable.
func (s *store) save(current *plan.Snapshot) error {
	payload, err := catalogfeed.Compress(current.FullDelta())
	if err != nil {
		return err
	}
	file, err := s.dir.Create(newCopyName)
	if err != nil {
		return err
	}
	_, writeErr := file.Write(payload)
	if err := errors.Join(writeErr, syncIf(writeErr == nil, file), file.Close()); err != nil {
		return err
	}
	if err := s.dir.Rename(newCopyName, copyName); err != nil {
		return err
	}
	return s.dir.Sync()
}

func syncIf(written bool, file disk.File) error {
	if !written {
		return nil
	}
	return file.Sync()
}

// load returns the stored copy.
func (s *store) load() (plan.Delta, error) {
	names, err := s.dir.List()
	if err != nil {
		return plan.Delta{}, err
	}
	for _, name := range names {
		if name == copyName {
			payload, err := s.dir.ReadFile(copyName)
			if err != nil {
				return plan.Delta{}, err
			}
			return catalogfeed.Decompress(bytes.NewReader(payload))
		}
	}
	return plan.EmptySnapshot().FullDelta(), nil
}

// loadStored starts from the stored copy. A copy that cannot be read is left
// out: it only saves a transfer, and lets the entry start without control.
func (f *Follower) loadStored() {
	d, err := f.store.load()
	if err == nil {
		err = f.replica.Apply(d)
	}
	if err != nil {
		f.options.Log.Error("stored copy of the catalog cannot be read", zap.Error(err))
		return
	}
	f.options.Log.Info("stored copy of the catalog read", zap.Uint64("version", f.Version()))
}

// keepStored saves the copy after changes, and once more when ctx ends.
func (f *Follower) keepStored(ctx context.Context) {
	saved := f.Version()
	for ctx.Err() == nil {
		changed := f.replica.Changed()
		if f.Version() == saved {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		saved = f.saveCurrent(saved)
		_ = f.options.Clock.Sleep(ctx, saveInterval)
	}
	if f.Version() != saved {
		f.saveCurrent(saved)
	}
}

// saveCurrent returns the version that is now stored.
func (f *Follower) saveCurrent(saved uint64) uint64 {
	current := f.replica.Current()
	if err := f.store.save(current); err != nil {
		f.options.Log.Error("copy of the catalog cannot be stored", zap.Error(err))
		return saved
	}
	return current.Version()
}
