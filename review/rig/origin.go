package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// chunkOf returns a piece of a version's weights.
func chunkOf(version, n int) []byte {
	b := make([]byte, chunkBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(version), byte(n), byte(n >> 8), 1}).Read(b)
	return b
}

// origin is the origin of the weights. Its link carries one answer at a time.
type origin struct {
	record *record

	mu     sync.Mutex
	newest int
	// garbleUntil is the end of a disruption in which the first spoiltLeft manifests are spoilt in one digit.
	garbleFrom, garbleUntil time.Time
	spoiltLeft              int
	// answers and spoilt count the answers, and those that were spoilt, within the disruption.
	answers, spoilt int

	link sync.Mutex
}

func newOrigin(r *record) *origin {
	return &origin{record: r, newest: firstVersion}
}

// name makes a version the newest.
func (o *origin) name(version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = version
}

// garble begins a disruption in which the first n manifests are spoilt.
func (o *origin) garble(n int, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.garbleFrom, o.garbleUntil, o.spoiltLeft = time.Now(), time.Now().Add(d), n
}

// garbled returns how many answers the origin has given in the disruption, and how many of them were spoilt.
func (o *origin) garbled() (answers, spoilt int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answers, o.spoilt
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	newest := o.newest
	version := newest
	if v := r.URL.Query().Get("version"); v != "" {
		version, _ = strconv.Atoi(v)
	}
	isManifest := strings.HasPrefix(r.URL.Path, "/v1/manifest/")
	within := time.Now().Before(o.garbleUntil)
	spoil := within && isManifest && o.spoiltLeft > 0
	if within {
		o.answers++
	}
	number := o.spoilt
	if spoil {
		o.spoilt++
		o.spoiltLeft--
	}
	o.mu.Unlock()
	var body []byte
	switch {
	case version < newest-1 || version > newest:
		w.WriteHeader(http.StatusGone)
		return
	case isManifest:
		body = manifestOf(version)
		if spoil {
			spoilDigest(body, number)
		}
		o.record.add("origin: manifest of version %d sent, spoilt=%v", version, spoil)
	default:
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		body = chunkOf(version, n)
	}
	o.transfer(len(body))
	_, _ = w.Write(body)
}

// transfer takes the time that an answer takes on the link.
func (o *origin) transfer(bytes int) {
	o.link.Lock()
	defer o.link.Unlock()
	time.Sleep(time.Duration(float64(bytes) / originBytesPerSecond * float64(time.Second)))
}

func manifestOf(version int) []byte {
	var digests []string
	for n := range chunkCount {
		sum := sha256.Sum256(chunkOf(version, n))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	b, _ := json.Marshal(map[string]any{"model": modelName, "version": version, "chunk_bytes": chunkBytes, "layers": layerCount, "digests": digests})
	return b
}

// spoilDigest changes one hexadecimal digit of one digest, another one for each number.
func spoilDigest(body []byte, number int) {
	first := strings.Index(string(body), `"digests":["`) + len(`"digests":["`)
	const perDigest = 2*sha256.Size + len(`","`)
	at := first + (10+20*number)*perDigest + 7
	if body[at] == '0' {
		body[at] = '1'
	} else {
		body[at] = '0'
	}
}
