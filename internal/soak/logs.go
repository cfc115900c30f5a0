package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// mostLines bounds the log lines that are printed with a violation, and mostLine the longest line that is read.
const (
	mostLines = 40
	mostLine  = 1 << 20
)

// telling are the messages by which a process says where its records come from.
var telling = []string{"another source of records is needed", "source of records", "the store is lost", "the store is back"}

// logLines are the lines of a violation's process that name its request or its subject, and those on its records around it.
func logLines(dir string, v *Violation, start time.Time) []string {
	f, err := os.Open(filepath.Join(dir, v.Process+".log"))
	if err != nil {
		return nil
	}
	defer f.Close()
	var l []string
	r := bufio.NewScanner(f)
	r.Buffer(nil, mostLine)
	for r.Scan() && len(l) < mostLines {
		var of struct {
			Time                       time.Time
			Request, Instance, Message string
		}
		if json.Unmarshal(r.Bytes(), &of) != nil {
			continue
		}
		before := start.Add(time.Duration(v.AtMs) * time.Millisecond).Sub(of.Time)
		near := before > -aroundAfter && before < aroundBefore
		names := of.Request != "" && of.Request == v.Request || of.Instance != "" && of.Instance == v.Subject
		if names || near && slices.Contains(telling, of.Message) {
			l = append(l, v.Process+": "+r.Text())
		}
	}
	return l
}
