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

// KeyedFaults are the faults of a door to the store.
type KeyedFaults struct {
	// Status, where above 0, answers every call.
	Status int `json:"status"`
	// Silent gives no answer at all.
	Silent bool `json:"silent"`
	// DelayMs is added to every call.
	DelayMs int `json:"delay_ms"`
}

// keyedRecord is a record of a keyed topic; a nil value drops the key.
type keyedRecord struct {
	key   string
	value []byte
}

// keyedTopic is a topic's log; first is the oldest offset that may still be read.
type keyedTopic struct {
	records []keyedRecord
	first   int
}

// KeyedStore plays the metadata store of the users' platform as far as springrail uses it: keyed topics of one partition,
// read by offset or by key, and appended to.
type KeyedStore struct {
	mu     sync.Mutex
	topics map[string]*keyedTopic
	change chan struct{}
	// era is the number of times that the store has come back from a copy.
	era int
}

// NewKeyedStore makes an empty store.
func NewKeyedStore() *KeyedStore {
	return &KeyedStore{topics: map[string]*keyedTopic{}, change: make(chan struct{})}
}

// Put appends a record; a nil value drops the key.
func (s *KeyedStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.records = append(t.records, keyedRecord{key: key, value: value})
	close(s.change)
	s.change = make(chan struct{})
}

// TruncateHistory drops the history of a topic: what has been written can be read by key only.
func (s *KeyedStore) TruncateHistory(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first = len(t.records)
}

// KeyedSnapshot is what a store held at a moment.
type KeyedSnapshot map[string]keyedTopic

// Snapshot returns what the store holds now.
func (s *KeyedStore) Snapshot() KeyedSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := KeyedSnapshot{}
	for name, t := range s.topics {
		c[name] = keyedTopic{records: slices.Clone(t.records), first: t.first}
	}
	return c
}

// Restore has the store come back from a copy: what was written since is gone, and the next records get its offsets. Those
// that are written again are there with the return.
func (s *KeyedStore) Restore(c KeyedSnapshot, again ...KeyedWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = map[string]*keyedTopic{}
	for name, t := range c {
		s.topics[name] = &keyedTopic{records: slices.Clone(t.records), first: t.first}
	}
	for _, w := range again {
		t := s.topic(w.Topic)
		t.records = append(t.records, keyedRecord{key: w.Key, value: w.Value})
	}
	s.era++
	close(s.change)
	s.change = make(chan struct{})
}

// Keys lists the keys of a topic that have a value.
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

// KeyedWrite is a record to be written; a nil value drops the key.
type KeyedWrite struct {
	Topic, Key string
	Value      []byte
}

// nameEra writes the era into an answer; the caller holds the lock.
func (s *KeyedStore) nameEra(h http.Header) {
	h.Set("Store-Era", strconv.Itoa(s.era))
}

// topic returns a topic, which comes into being on its first use; the caller holds the lock.
func (s *KeyedStore) topic(name string) *keyedTopic {
	t := s.topics[name]
	if t == nil {
		t = &keyedTopic{}
		s.topics[name] = t
	}
	return t
}

// KeyedEndpoint is one caller's way to the store, with faults of its own: the store may turn some callers away.
type KeyedEndpoint struct {
	store  *KeyedStore
	mu     sync.Mutex
	faults KeyedFaults
	calls  int
}

// NewEndpoint makes a way to the store without faults.
func (s *KeyedStore) NewEndpoint() *KeyedEndpoint {
	return &KeyedEndpoint{store: s}
}

// SetFaults replaces the faults.
func (d *KeyedEndpoint) SetFaults(f KeyedFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// Calls is the number of calls that came.
func (d *KeyedEndpoint) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// ServeHTTP implements http.Handler.
func (d *KeyedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	f := d.faults
	d.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	switch {
	case f.Silent:
		<-r.Context().Done()
		cut()
	case f.Status > 0:
		d.store.mu.Lock()
		d.store.nameEra(w.Header())
		d.store.mu.Unlock()
		w.WriteHeader(f.Status)
	case r.URL.Path == "/v1/log-newest":
		d.store.newest(w, r)
	case r.URL.Path == "/v1/log-read":
		d.store.read(w, r)
	case r.URL.Path == "/v1/log-append" && r.Method == http.MethodPost:
		d.store.append(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// newestPage is the most items of one answer.
const newestPage = 500

// newest answers with the newest record of each key, a page at a time.
func (s *KeyedStore) newest(w http.ResponseWriter, r *http.Request) {
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
	s.nameEra(w.Header())
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
		if len(page.Items) == newestPage {
			page.More = true
			break
		}
		page.Items = append(page.Items, item{Key: key, Value: base64.StdEncoding.EncodeToString(t.records[i].value), Offset: i})
	}
	writeJSON(w, page)
}

// read answers with the records from an offset on, or waits for one.
func (s *KeyedStore) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for ended := wait == 0; ; {
		s.mu.Lock()
		t, change := s.topic(q.Get("topic")), s.change
		s.nameEra(w.Header())
		switch {
		case from < t.first || from > len(t.records):
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		case from < len(t.records) || ended:
			raw := t.encode(from)
			s.mu.Unlock()
			_, _ = w.Write(raw)
			return
		}
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-over:
			ended = true
		case <-change:
		}
	}
}

// append takes keyed records in the form that encode writes, without the offsets.
func (s *KeyedStore) append(w http.ResponseWriter, r *http.Request) {
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
		one := raw[5:n]
		if int(raw[4]) > len(one) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k := keyedRecord{key: string(one[:raw[4]])}
		if len(one) > len(k.key) {
			k.value = one[len(k.key):]
		}
		l, raw = append(l, k), raw[n:]
	}
	for _, k := range l {
		s.Put(r.URL.Query().Get("topic"), k.key, k.value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w.Header())
	end := len(s.topic(r.URL.Query().Get("topic")).records)
	writeJSON(w, map[string]int{"offset": end - len(l), "end": end})
}

// encode writes the end and the first offset, then each record from an offset on: a length, the key's length, the key
// and the value.
func (t *keyedTopic) encode(from int) []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, uint64(len(t.records)))
	_ = binary.Write(&b, binary.BigEndian, uint64(t.first))
	for _, k := range t.records[from:] {
		_ = binary.Write(&b, binary.BigEndian, uint32(1+len(k.key)+len(k.value)))
		b.WriteByte(byte(len(k.key)))
		b.WriteString(k.key)
		b.Write(k.value)
	}
	return b.Bytes()
}
