package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// maxLogLines bounds the log lines that are printed with a violation, and maxLineBytes the length of a line that can be
// read.
const (
	maxLogLines  = 40
	maxLineBytes = 1 << 20
)

// sourceMessages are the log messages in which a process reports its source of records.
var sourceMessages = []string{"another source of records is needed", "source of records", "the store is lost", "the store is back"}

// logLines returns the log lines of a violation's process that contain its request or subject, and the lines on sources
// of records around it.
func logLines(dir string, v *Violation, start time.Time) []string {
	f, err := os.Open(filepath.Join(dir, v.Process+".log"))
	if err != nil {
		return nil
	}
	defer f.Close()
	var l []string
	r := bufio.NewScanner(f)
	r.Buffer(nil, maxLineBytes)
	for r.Scan() && len(l) < maxLogLines {
		var entry struct {
			Time                       time.Time
			Request, Instance, Message string
		}
		if json.Unmarshal(r.Bytes(), &entry) != nil {
			continue
		}
		before := start.Add(time.Duration(v.AtMs) * time.Millisecond).Sub(entry.Time)
		inContext := before > -contextAfter && before < contextBefore
		matches := entry.Request != "" && entry.Request == v.Request || entry.Instance != "" && entry.Instance == v.Subject
		if matches || inContext && slices.Contains(sourceMessages, entry.Message) {
			l = append(l, v.Process+": "+r.Text())
		}
	}
	return l
}
