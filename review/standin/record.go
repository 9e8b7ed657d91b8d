package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds
// since the start.
type record struct {
	lock    sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

func (record *record) write(format string, values ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	_, _ = fmt.Fprintf(record.writer, "%9.4f ", time.Since(record.started).Seconds())
	_, _ = fmt.Fprintf(record.writer, format+"\n", values...)
}

func (record *record) close() error {
	record.lock.Lock()
	defer record.lock.Unlock()
	if err := record.writer.Flush(); err != nil {
		return err
	}
	return record.file.Close()
}
