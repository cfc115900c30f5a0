package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// corruptTolerance is how long staged chunks may have been corrupt when a model server takes them, as required by the users.
const corruptTolerance = 3 * time.Second

// corruption is a staged chunk's original content, and when it turned corrupt.
type corruption struct {
	original []byte
	since    time.Time
}

// handleStage stores a chunk, returns one, or lists the staged chunks.
func (s *ModelServer) handleStage(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	switch {
	case r.Method == http.MethodPut && err == nil:
		s.stage(n, r.Body)
	case err == nil:
		s.mu.Lock()
		data := s.staged[n]
		s.mu.Unlock()
		if data == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
		if s.OnChunkRead != nil {
			s.OnChunkRead(n)
		}
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		held := []int{}
		for n := range s.staged {
			held = append(held, n)
		}
		writeJSON(w, map[string]any{"held": held})
	}
}

// stage stores a chunk, or what arrives of it.
func (s *ModelServer) stage(n int, body io.Reader) {
	data, _ := io.ReadAll(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staged == nil {
		s.staged, s.corrupt = map[int][]byte{}, map[int]corruption{}
	}
	s.staged[n] = data
	delete(s.corrupt, n)
}

// CorruptStaged makes a staged chunk corrupt and reports whether it is staged. It stays so until it is staged again.
func (s *ModelServer) CorruptStaged(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.staged[n]) == 0 {
		return false
	}
	if _, ok := s.corrupt[n]; !ok {
		s.corrupt[n] = corruption{original: s.staged[n], since: time.Now()}
		s.staged[n] = bytes.Clone(s.staged[n])
		s.staged[n][0] ^= 1
	}
	return true
}

// checkStaged reports a violation if an order loads chunks that are missing, of another version, or have been corrupt for
// longer than corruptTolerance. The caller holds the lock.
func (s *ModelServer) checkStaged(version int) {
	for n := range s.Weights.Chunks {
		want, what := s.Weights.Chunk(version, n), "missing or wrong"
		if bytes.Equal(s.staged[n], want) {
			continue
		}
		if c, ok := s.corrupt[n]; ok && bytes.Equal(c.original, want) {
			age := time.Since(c.since)
			if age <= corruptTolerance {
				continue
			}
			what = fmt.Sprintf("corrupt for %.2f s", age.Seconds())
		}
		s.OnViolation(fmt.Sprintf("%s was ordered to load version %d, but its staged chunk %d is %s", s.Instance, version, n, what))
		return
	}
}
