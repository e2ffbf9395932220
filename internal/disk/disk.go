// Package disk defines the interface through which durable state is stored in
// the file system, and its implementation. All files of a process are in one
// data folder.
package disk

import "io"

// File is a file open for writing at its end.
type File interface {
	io.Writer
	// Sync makes all written bytes durable. After an error the state of the
	// written bytes is unknown, so the file must no longer be used.
	Sync() error
	Close() error
}

// Dir is a flat directory of files. Names have no path separators. Creating,
// renaming and removing a file is durable once Sync has returned.
type Dir interface {
	// Create opens an empty file, replacing an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the names of all files in ascending order.
	List() ([]string, error)
	Rename(old, new string) error
	Remove(name string) error
	// Truncate shortens the file to size bytes and makes the new size durable.
	Truncate(name string, size int64) error
	Sync() error
}
