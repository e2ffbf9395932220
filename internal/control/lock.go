package control

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

const (
	lockFileName = "lock"
	folderMode   = 0o700
	lockFileMode = 0o600
)

// FolderLock keeps other processes from using a data folder. The operating
// system releases it when the process ends.
type FolderLock struct{ file *os.File }

// LockFolder creates the data folder if needed and locks it. It returns an error
// without waiting if another process holds the lock.
func LockFolder(path string) (*FolderLock, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	file, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, lockFileMode)
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
	return nil, trace.Wrap(err, "cannot lock data folder %s", path)
}

// Release releases the lock.
func (l *FolderLock) Release() { _ = l.file.Close() }
