package cmd

import (
	"fmt"
	"io"
	"os"
)

// readInputs opens and reads the named inputs one after another, or reads standard input if there are no names.
func readInputs(names []string, open func(name string) (io.ReadCloser, error), read func(r io.Reader) error) error {
	if len(names) == 0 {
		return readInput("standard input", os.Stdin, read)
	}
	for _, name := range names {
		r, err := open(name)
		if err != nil {
			return fmt.Errorf("an input can't be read: %w", err)
		}
		err = readInput(name, r, read)
		r.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func readInput(name string, r io.Reader, read func(r io.Reader) error) error {
	if err := read(r); err != nil {
		return fmt.Errorf("%s can't be read to its end: %w", name, err)
	}
	return nil
}

// openFile opens a file for reading; it is the open function of readInputs for commands that accept only files.
func openFile(name string) (io.ReadCloser, error) {
	return os.Open(name)
}
