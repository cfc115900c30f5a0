package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Outcome is what a caller has got for a request.
type Outcome struct {
	id string
	// status is 0 where no header of an answer came; err is what ended the connection before the answer was complete.
	status int
	seal   string
	body   string
	err    error
	took   time.Duration
}

// String describes the outcome for the record.
func (o *Outcome) String() string {
	switch {
	case o.status == 0:
		return fmt.Sprintf("no answer after %d ms: %v", o.took.Milliseconds(), o.err)
	case o.err != nil:
		return fmt.Sprintf("status %d, cut after %d bytes and %d ms: %v", o.status, len(o.body), o.took.Milliseconds(), o.err)
	default:
		return fmt.Sprintf("status %d, %d bytes, seal %q, after %d ms", o.status, len(o.body), o.seal, o.took.Milliseconds())
	}
}

// Call is a request of a caller.
type Call struct {
	id, method, path, body string
	deadline               time.Duration
	// prompt is the Prompt-Prefix of a request to a model; empty for another one.
	prompt string
}

// text returns the request as it is sent.
func (c *Call) text() string {
	t := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, host, c.id, c.deadline.Milliseconds(), tenantText)
	if c.prompt != "" {
		t += fmt.Sprintf("Model: %s\r\nToken-Usage: 200,60\r\nPrompt-Prefix: %s\r\n", engineModel, c.prompt)
	}
	if c.method == http.MethodPost {
		t += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	return t + "\r\n" + c.body
}

// send sends a request over a new connection and waits for its answer.
func (c *Call) send(r *Record, address string) *Outcome {
	o := &Outcome{id: c.id}
	start := time.Now()
	defer func() {
		o.took = time.Since(start)
		r.Addf("%s: %s", c.id, o)
	}()
	n, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer n.Close()
	_ = n.SetDeadline(start.Add(c.deadline + time.Second))
	r.Addf("%s: %s %s is sent to %s", c.id, c.method, c.path, address)
	if _, err := io.WriteString(n, c.text()); err != nil {
		o.err = err
		return o
	}
	o.read(bufio.NewReader(n), c.method)
	return o
}

// read reads the answer.
func (o *Outcome) read(from *bufio.Reader, method string) {
	a, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	o.status, o.seal, o.body, o.err = a.StatusCode, a.Header.Get("Response-Seal"), strings.TrimSpace(string(b)), err
}
