package control

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

const (
	lockName   = "lock"
	folderMode = 0o700
	lockMode   = 0o600
)

// FolderLock keeps other processes from using a data folder. The system
// releases it when the process ends.
type FolderLock struct{ file *os.File }

// LockFolder locks the data folder, and creates it if needed. It fails at once
// if another process holds the lock.
func LockFolder(path string) (*FolderLock, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	file, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, lockMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &FolderLock{file: file}, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, trace.AlreadyExists("data folder %s is used by another process", path)
	}
	return nil, trace.Wrap(err, "data folder %s cannot be locked", path)
}

// Release gives up the lock.
func (l *FolderLock) Release() { _ = l.file.Close() }
