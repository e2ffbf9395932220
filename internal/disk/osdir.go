package disk

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/gravitational/trace"
)

// Permissions of the data folder and its files: the owner only.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OSDir is a Dir on the file system of the operating system.
type OSDir struct{ path string }

var _ Dir = (*OSDir)(nil)

// Open returns the directory at path. It creates the directory and its parents
// if needed, and syncs the parent directory.
func Open(path string) (*OSDir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	parent := &OSDir{path: filepath.Dir(path)}
	if err := parent.Sync(); err != nil {
		return nil, err
	}
	return &OSDir{path: path}, nil
}

// Create opens an empty file, replacing an existing one.
func (d *OSDir) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// OpenAppend opens an existing file for writing at its end.
func (d *OSDir) OpenAppend(name string) (File, error) {
	return d.open(name, os.O_WRONLY|os.O_APPEND)
}

func (d *OSDir) open(name string, flags int) (File, error) {
	path, err := d.filePath(name)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

// ReadFile returns the content of a file.
func (d *OSDir) ReadFile(name string) ([]byte, error) {
	path, err := d.filePath(name)
	if err != nil {
		return nil, err
	}
	content, err := os.ReadFile(path)
	return content, trace.ConvertSystemError(err)
}

// List returns the names of the regular files in ascending order.
func (d *OSDir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var names []string
	for _, item := range entries {
		if item.Type().IsRegular() {
			names = append(names, item.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Rename renames a file, replacing an existing file with the new name.
func (d *OSDir) Rename(old, new string) error {
	oldPath, err := d.filePath(old)
	if err != nil {
		return err
	}
	newPath, err := d.filePath(new)
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(os.Rename(oldPath, newPath))
}

// Remove deletes a file.
func (d *OSDir) Remove(name string) error {
	path, err := d.filePath(name)
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(os.Remove(path))
}

// Truncate shortens a file to size bytes and syncs it.
func (d *OSDir) Truncate(name string, size int64) error {
	path, err := d.filePath(name)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	err = file.Truncate(size)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return trace.ConvertSystemError(err)
}

// Sync makes the file names in the directory durable.
func (d *OSDir) Sync() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return trace.ConvertSystemError(err)
}

func (d *OSDir) filePath(name string) (string, error) {
	if name == "" || name == "." || name == ".." || name != filepath.Base(name) {
		return "", trace.BadParameter("file name %q has a path separator or is empty", name)
	}
	return filepath.Join(d.path, name), nil
}
