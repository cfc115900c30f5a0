package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/springrail/springrail/internal/engine"
	"github.com/springrail/springrail/internal/id"
)

const (
	defaultTokens = 16
	maxTokens     = 4096
	// bytesPerToken is the average size of a prompt token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that the cache compares.
	prefixBytes = 512
)

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
	Messages  json.RawMessage `json:"messages"`
	// ResumeFrom is the number of tokens that the caller received before its stream was cut.
	ResumeFrom int `json:"resume_from"`
}

// chatAnswer is one chunk of a streamed completion, or a complete completion.
type chatAnswer struct {
	ID                string       `json:"id"`
	Object            string       `json:"object"`
	Model             string       `json:"model"`
	SystemFingerprint string       `json:"system_fingerprint"`
	Choices           []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k := modelKey{organisation: id.Organisation(r.Header.Get("X-Organisation")), model: id.Model(c.Model)}
	e.mu.Lock()
	l, f := e.models[k], e.faults
	e.mu.Unlock()
	requestID := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", requestID)
	if l.Status != engine.StatusReady {
		http.Error(w, "model not loaded", http.StatusServiceUnavailable)
		return
	}
	if c.MaxTokens <= 0 || c.MaxTokens > maxTokens {
		c.MaxTokens = defaultTokens
	}
	version := string(l.Version)
	if f.WrongVersion {
		version += "-other"
	}
	if f.CrossAnswers {
		w.Header().Set("X-Request-Id", requestID+"-other")
	}
	w.Header().Set("X-Model-Version", version)
	s := &sequence{
		priority: c.Priority, prefix: string(c.Messages[:min(prefixBytes, len(c.Messages))]),
		prefill: len(c.Messages) / bytesPerToken, remaining: c.MaxTokens - c.ResumeFrom,
		tokens: make(chan int, c.MaxTokens), ctx: r.Context(),
	}
	if s.remaining <= 0 {
		http.Error(w, "nothing left to resume", http.StatusBadRequest)
		return
	}
	e.batch.add(s)
	e.countRun(requestID)
	a := chatAnswer{ID: requestID, Model: c.Model, SystemFingerprint: version}
	if c.Stream {
		e.stream(w, s, a, c, f.CutStreams)
		return
	}
	e.respond(w, s, a, c)
}

func (e *Engine) countRun(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Runs[requestID]++
}

// token returns the text of a token. It contains the version, so that an answer from mixed weights can be detected.
func (e *Engine) token(n int, version string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Tokens[version]++
	return fmt.Sprintf("%s:%d ", version, n)
}

func (e *Engine) respond(w http.ResponseWriter, s *sequence, a chatAnswer, c chatRequest) {
	var text strings.Builder
	for left := range s.tokens {
		text.WriteString(e.token(c.MaxTokens-left, a.SystemFingerprint))
	}
	if s.ctx.Err() != nil {
		return
	}
	a.Object = "chat.completion"
	a.Choices = []chatChoice{{
		Message: &chatMessage{Role: "assistant", Content: text.String()}, FinishReason: "stop",
	}}
	writeJSON(w, a)
}

func (e *Engine) stream(w http.ResponseWriter, s *sequence, a chatAnswer, c chatRequest, abortEarly bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	a.Object = "chat.completion.chunk"
	flush := http.NewResponseController(w).Flush
	for left := range s.tokens {
		a.Choices = []chatChoice{{Delta: &chatMessage{Content: e.token(c.MaxTokens-left, a.SystemFingerprint)}}}
		b, _ := json.Marshal(a)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
			return
		}
		_ = flush()
		if abortEarly {
			abortConnection()
		}
	}
	if s.ctx.Err() == nil {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}
