package standin

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// KeyedFaults selects the faults of one caller's endpoint of the store.
type KeyedFaults struct {
	// Status is the HTTP status that answers every call; 0 disables it.
	Status int `json:"status"`
	// Silent leaves every call without an answer.
	Silent bool `json:"silent"`
	// DelayMs is the delay in milliseconds that is added to every call.
	DelayMs int `json:"delay_ms"`
	// Topic limits the faults to calls for one topic; empty selects all calls.
	Topic string `json:"topic"`
}

// keyedRecord is a record of a keyed topic; a nil value is a tombstone that deletes the key.
type keyedRecord struct {
	key   string
	value []byte
}

// keyedTopic is the log of a topic; firstOffset is the oldest offset that can still be read.
type keyedTopic struct {
	records     []keyedRecord
	firstOffset int
}

// KeyedStore simulates the part of the platform's metadata store that springrail uses: keyed topics with one partition
// each, which are appended to and read by offset or by key.
type KeyedStore struct {
	mu      sync.Mutex
	topics  map[string]*keyedTopic
	changed chan struct{}
	// era is the store epoch: the number of times that the store was restored from a snapshot.
	era int
}

// NewKeyedStore returns an empty store.
func NewKeyedStore() *KeyedStore {
	return &KeyedStore{topics: map[string]*keyedTopic{}, changed: make(chan struct{})}
}

// Put appends a record; a nil value deletes the key.
func (s *KeyedStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.records = append(t.records, keyedRecord{key: key, value: value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// TruncateHistory discards the readable log of a topic: existing records can be read by key only.
func (s *KeyedStore) TruncateHistory(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.firstOffset = len(t.records)
}

// KeyedSnapshot is the content of a store at one point in time.
type KeyedSnapshot map[string]keyedTopic

// Snapshot returns the current content of the store.
func (s *KeyedStore) Snapshot() KeyedSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := KeyedSnapshot{}
	for name, t := range s.topics {
		c[name] = keyedTopic{records: slices.Clone(t.records), firstOffset: t.firstOffset}
	}
	return c
}

// Restore replaces the content of the store with a snapshot and starts a new store epoch. Records written since the
// snapshot are lost and their offsets are reused; the rewritten records are appended in the same step.
func (s *KeyedStore) Restore(c KeyedSnapshot, rewritten ...KeyedWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = map[string]*keyedTopic{}
	for name, t := range c {
		s.topics[name] = &keyedTopic{records: slices.Clone(t.records), firstOffset: t.firstOffset}
	}
	for _, w := range rewritten {
		t := s.topic(w.Topic)
		t.records = append(t.records, keyedRecord{key: w.Key, value: w.Value})
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Keys returns the sorted keys of a topic that have a value.
func (s *KeyedStore) Keys(topic string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string][]byte{}
	for _, k := range s.topic(topic).records {
		last[k.key] = k.value
	}
	maps.DeleteFunc(last, func(_ string, value []byte) bool { return value == nil })
	return slices.Sorted(maps.Keys(last))
}

// KeyedWrite is a record to be written; a nil value deletes the key.
type KeyedWrite struct {
	Topic, Key string
	Value      []byte
}

// setEraHeader writes the store epoch into an answer's header. The caller holds the lock.
func (s *KeyedStore) setEraHeader(h http.Header) {
	h.Set("Store-Era", strconv.Itoa(s.era))
}

// topic returns a topic and creates it on first use. The caller holds the lock.
func (s *KeyedStore) topic(name string) *keyedTopic {
	t := s.topics[name]
	if t == nil {
		t = &keyedTopic{}
		s.topics[name] = t
	}
	return t
}

// KeyedEndpoint serves the store to one caller. It has separate faults, so that the store can refuse some callers and
// serve others.
type KeyedEndpoint struct {
	store     *KeyedStore
	mu        sync.Mutex
	faults    KeyedFaults
	callCount int
}

// NewEndpoint returns an endpoint without faults.
func (s *KeyedStore) NewEndpoint() *KeyedEndpoint {
	return &KeyedEndpoint{store: s}
}

// SetFaults replaces the simulated faults.
func (d *KeyedEndpoint) SetFaults(f KeyedFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// Calls returns the number of calls received.
func (d *KeyedEndpoint) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCount
}

// ServeHTTP implements http.Handler.
func (d *KeyedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.callCount++
	f := d.faults
	d.mu.Unlock()
	if f.Topic != "" && f.Topic != r.URL.Query().Get("topic") {
		f = KeyedFaults{}
	}
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	switch {
	case f.Silent:
		<-r.Context().Done()
		abortConnection()
	case f.Status > 0:
		d.store.mu.Lock()
		d.store.setEraHeader(w.Header())
		d.store.mu.Unlock()
		w.WriteHeader(f.Status)
	case r.URL.Path == "/v1/log-newest":
		d.store.handleNewest(w, r)
	case r.URL.Path == "/v1/log-read":
		d.store.handleRead(w, r)
	case r.URL.Path == "/v1/log-append" && r.Method == http.MethodPost:
		d.store.handleAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// maxPageItems is the maximum number of items per page.
const maxPageItems = 500

// handleNewest answers with the newest record of each key, in pages.
func (s *KeyedStore) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"tlsKey"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEraHeader(w.Header())
	t := s.topic(r.URL.Query().Get("topic"))
	page.End = len(t.records)
	newest := map[string]int{}
	for i, k := range t.records {
		newest[k.key] = i
	}
	after := r.URL.Query().Get("sinceRevision")
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		i := newest[key]
		if key <= after && after != "" || t.records[i].value == nil {
			continue
		}
		if len(page.Items) == maxPageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, item{Key: key, Value: base64.StdEncoding.EncodeToString(t.records[i].value), Offset: i})
	}
	writeJSON(w, page)
}

// handleRead answers with the records from an offset on. As a long poll, it waits for a record if there is none yet.
func (s *KeyedStore) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		t, change := s.topic(q.Get("topic")), s.changed
		s.setEraHeader(w.Header())
		switch {
		case from < t.firstOffset || from > len(t.records):
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		case from < len(t.records) || timedOut:
			raw := t.encode(from)
			s.mu.Unlock()
			_, _ = w.Write(raw)
			return
		}
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			timedOut = true
		case <-change:
		}
	}
}

// handleAppend appends keyed records. The body has the format that encode writes, without the leading offsets.
func (s *KeyedStore) handleAppend(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var l []keyedRecord
	for len(raw) > 0 {
		if len(raw) < 4 || len(raw)-4 < int(binary.BigEndian.Uint32(raw)) || binary.BigEndian.Uint32(raw) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(raw))
		payload := raw[5:n]
		if int(raw[4]) > len(payload) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k := keyedRecord{key: string(payload[:raw[4]])}
		if len(payload) > len(k.key) {
			k.value = payload[len(k.key):]
		}
		l, raw = append(l, k), raw[n:]
	}
	for _, k := range l {
		s.Put(r.URL.Query().Get("topic"), k.key, k.value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEraHeader(w.Header())
	end := len(s.topic(r.URL.Query().Get("topic")).records)
	writeJSON(w, map[string]int{"offset": end - len(l), "end": end})
}

// encode writes the end offset and the first offset, then each record from an offset on: the record's length, the key's
// length, the key and the value.
func (t *keyedTopic) encode(from int) []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, uint64(len(t.records)))
	_ = binary.Write(&b, binary.BigEndian, uint64(t.firstOffset))
	for _, k := range t.records[from:] {
		_ = binary.Write(&b, binary.BigEndian, uint32(1+len(k.key)+len(k.value)))
		b.WriteByte(byte(len(k.key)))
		b.WriteString(k.key)
		b.Write(k.value)
	}
	return b.Bytes()
}
