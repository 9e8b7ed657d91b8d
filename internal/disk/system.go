package disk

import (
	"os"

	"golang.org/x/sys/unix"
)

// System makes the system calls that change a data folder. Each of them can fail, for
// example because the disk is full.
type System interface {
	// Create opens a file for writing. It truncates an existing file.
	Create(path string) (*os.File, error)
	// Write writes at the file's offset. If it returns an error, it may have written a
	// part of the data.
	Write(file *os.File, data []byte) (int, error)
	// Sync makes the contents and the size of a file durable.
	Sync(file *os.File) error
	Truncate(file *os.File, size int64) error
	Rename(from, to string) error
}

// OS is the System of the operating system.
type OS struct{}

// Create implements System.
func (OS) Create(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Write implements System.
func (OS) Write(file *os.File, data []byte) (int, error) { return file.Write(data) }

// Sync implements System.
func (OS) Sync(file *os.File) error { return unix.Fdatasync(int(file.Fd())) }

// Truncate implements System.
func (OS) Truncate(file *os.File, size int64) error { return file.Truncate(size) }

// Rename implements System.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }
