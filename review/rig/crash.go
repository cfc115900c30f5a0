package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// crashPart begins the IDs of the parts of prompts that crash servers, in hexadecimal.
	crashPart = "dead"
	// crashingParts is the number of such parts.
	crashingParts = 2
	// crashDowntime is the time until a crashed server is back.
	crashDowntime = 2 * time.Second
	// lapse is the time after which the entry of a silent server goes, three heartbeats.
	lapse = 3 * heartbeat
)

// listen starts to serve on the engine's address.
func (e *engine) listen() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	e.mu.Lock()
	e.server, e.down = s, false
	e.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	_ = e.server.Close()
}

// beat writes the engine's entry to the store while it is up, until the context ends.
func (e *engine) beat(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		e.mu.Lock()
		up, id := !e.down, e.id
		e.mu.Unlock()
		if b, err := json.Marshal(e.entry(n)); err == nil && up {
			e.store.Put(serverTopic, id, b)
		}
		pause(ctx, heartbeat)
	}
}

// crash ends the engine's process under a request. It is back under a new ID after crashDowntime, without layers; what is
// staged outlasts the crash.
func (e *engine) crash(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	old := e.id
	e.down = true
	e.life++
	e.record.add("%s: crashes under %s", old, request)
	e.onCrash()
	_ = e.server.Close()
	time.AfterFunc(lapse, func() { e.store.Put(serverTopic, old, nil) })
	time.AfterFunc(crashDowntime, func() {
		e.mu.Lock()
		e.id = fmt.Sprintf("%s.%d", e.name, e.life)
		e.version, e.orders, e.running, e.busy, e.pending = 0, 0, 0, false, 0
		e.mu.Unlock()
		if err := e.listen(); err != nil {
			e.record.add("%s: can't start again: %v", e.name, err)
			return
		}
		e.record.add("%s: starts", e.id)
	})
}
