package soak

import (
	"errors"
	"io"
	"os"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
)

// LogPipe is the standard output and standard error of a process: a named pipe with a reader that copies it to a file. The
// reader can exit and return, as a log collector does.
type LogPipe struct {
	path string
	file *os.File
	// writer is the write end that processes inherit. It stays open, so that only Close ends a reader by end of file.
	writer *os.File

	mu     sync.Mutex
	reader *os.File
	copied chan struct{}
}

// NewLogPipe creates a pipe beside the log file, with a reader.
func NewLogPipe(file string) (*LogPipe, error) {
	l := &LogPipe{path: file + ".pipe"}
	if err := syscall.Mkfifo(l.path, 0o600); err != nil && !errors.Is(err, os.ErrExist) {
		return nil, trace.Wrap(err, "%s", l.path)
	}
	var err error
	if l.file, err = os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := l.Attach(); err != nil {
		return nil, err
	}
	l.writer, err = os.OpenFile(l.path, os.O_WRONLY, 0)
	return l, trace.Wrap(err)
}

// Attach starts a reader if there is none.
func (l *LogPipe) Attach() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reader != nil {
		return nil
	}
	// Without O_NONBLOCK the call would wait for a writer.
	r, err := os.OpenFile(l.path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	copied := make(chan struct{})
	l.reader, l.copied = r, copied
	go func() {
		defer close(copied)
		_, _ = io.Copy(l.file, r)
	}()
	return nil
}

// Detach ends the reader. Until Attach is called, writes to the pipe fail.
func (l *LogPipe) Detach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reader == nil {
		return
	}
	l.reader.Close()
	<-l.copied
	l.reader = nil
}

// Close copies the rest of the log and removes the pipe. No process may have it open any more.
func (l *LogPipe) Close() {
	l.writer.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reader != nil {
		<-l.copied
		l.reader.Close()
	}
	l.file.Close()
	_ = os.Remove(l.path)
}
