// Package platform is the client of the platform's log, VM list, weight store and origin. It alone contains their wire
// formats.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
)

var (
	// ErrUnavailable reports that the platform didn't respond or failed; the operation may have taken effect.
	ErrUnavailable = errors.New("the platform gives no answer")
	// ErrRateLimited reports that the platform rejected the operation because of its rate limit; nothing took effect.
	ErrRateLimited = errors.New("the platform is over its rate")
	// ErrOffsetExpired reports that the log no longer keeps the records at the requested offset.
	ErrOffsetExpired = errors.New("the log no longer keeps this offset")
	// ErrNotFound reports that the store or origin has no such object.
	ErrNotFound = errors.New("the store has no such object")
)

// PartName is the name by which other parts depend on this one.
const PartName = "platform"

// callTimeout bounds one call, not counting the wait time of a long poll.
const callTimeout = 5 * time.Second

// Settings is the section [platform].
type Settings struct {
	Log    string `toml:"log"`
	VMList string `toml:"vm_list"`
	Store  string `toml:"store"`
	Origin string `toml:"origin"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	const want = `an address such as "http://127.0.0.1:7000"`
	c.Require(isURL(s.Log), "log", want)
	c.Require(isURL(s.VMList), "vm_list", want)
	c.Require(isURL(s.Origin), "origin", want)
	c.Require(s.Store == "" || isURL(s.Store), "store", want+" or nothing")
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  "platform",
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			return New(h.Section("platform").(*Settings), &http.Client{Transport: &http.Transport{
				MaxIdleConnsPerHost:    8,
				MaxResponseHeaderBytes: maxHeaderBytes,
				DisableCompression:     true,
			}}), nil
		},
	})
}

// Client calls the platform's services.
type Client struct {
	settings *Settings
	client   *http.Client
}

// New returns a client with the given settings.
func New(s *Settings, c *http.Client) *Client {
	return &Client{settings: s, client: c}
}

// Batch is the result of one read of the log.
type Batch struct {
	Records []*pb.LogRecord
	// First is the oldest offset that the log retains.
	First id.Offset
	// Next is the offset that the next appended record will get.
	Next id.Offset
}

// appendResponse is the JSON of the log's answer to an append.
type appendResponse struct {
	Offset uint64 `json:"offset"`
}

type readResponse struct {
	First   uint64       `json:"first"`
	Next    uint64       `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Append appends a record to the log and returns its offset. With ErrRateLimited nothing was appended; with ErrUnavailable the
// record may have been appended.
func (p *Client) Append(ctx context.Context, data []byte) (id.Offset, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var a appendResponse
	err := p.call(ctx, http.MethodPost, p.settings.Log+"/log/append", data, &a)
	return id.Offset(a.Offset), err
}

// Read returns records from an offset on. It is a long poll: it waits up to wait for the first record.
func (p *Client) Read(ctx context.Context, from id.Offset, limit int, wait time.Duration) (Batch, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout+wait)
	defer stop()
	u := fmt.Sprintf("%s/log/read?from=%d&limit=%d&wait=%s", p.settings.Log, from, limit, wait)
	var a readResponse
	if err := p.call(ctx, http.MethodGet, u, nil, &a); err != nil {
		return Batch{}, err
	}
	b := Batch{First: id.Offset(a.First), Next: id.Offset(a.Next)}
	for _, r := range a.Records {
		b.Records = append(b.Records, &pb.LogRecord{Offset: r.Offset, Data: r.Data})
	}
	if from < b.First {
		return b, trace.Wrap(ErrOffsetExpired, "offset %d, oldest %d", from, b.First)
	}
	return b, nil
}

// vmEntry is the JSON of a VM in the platform's VM list.
type vmEntry struct {
	ID      string `json:"id"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Role    string `json:"role"`
	Pool    string `json:"pool"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	Engine  bool   `json:"engine"`
}

type vmListResponse struct {
	Version uint64    `json:"version"`
	VMs     []vmEntry `json:"vms"`
}

// ListVMs returns the platform's VM list, which lags behind the VMs' actual state.
func (p *Client) ListVMs(ctx context.Context) (*pb.VMList, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var a vmListResponse
	if err := p.call(ctx, http.MethodGet, p.settings.VMList+"/vms", nil, &a); err != nil {
		return nil, err
	}
	l := &pb.VMList{Version: a.Version}
	for _, v := range a.VMs {
		l.Vms = append(l.Vms, &pb.VM{
			Id: v.ID, Domain: v.Domain, Region: v.Region, Role: v.Role, Pool: v.Pool,
			Address: v.Address, Leaving: v.Leaving, Engine: v.Engine,
		})
	}
	return l, nil
}

const (
	// maxHeaderBytes bounds the header of an answer of the platform, and maxAnswerBytes its body.
	maxHeaderBytes = 64 << 10
	maxAnswerBytes = 64 << 20
)

func (p *Client) call(ctx context.Context, method, url string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	a, err := p.client.Do(r)
	if err != nil {
		return trace.Wrap(errors.Join(ErrUnavailable, err))
	}
	defer a.Body.Close()
	if err := statusError(a.StatusCode); err != nil {
		return trace.Wrap(err, "%s", url)
	}
	if err := json.NewDecoder(io.LimitReader(a.Body, maxAnswerBytes)).Decode(result); err != nil {
		return trace.Wrap(errors.Join(ErrUnavailable, err))
	}
	return nil
}

func statusError(code int) error {
	switch code {
	case http.StatusOK, http.StatusPartialContent:
		return nil
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return errors.Join(ErrUnavailable, fmt.Errorf("status %d", code))
	}
}

// Source is a place from which weights can be downloaded.
type Source string

// Sources of weights.
const (
	SourceOrigin Source = "origin"
	SourceStore  Source = "store"
)

// HasStore reports whether a weight store is configured.
func (p *Client) HasStore() bool {
	return p.settings.Store != ""
}

// OpenObject returns length bytes of an object from an offset on. A negative length returns the whole object.
func (p *Client) OpenObject(ctx context.Context, s Source, path string, from, length int64) (io.ReadCloser, error) {
	base := p.settings.Origin + "/origin/"
	if s == SourceStore {
		base = p.settings.Store + "/store/"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if length >= 0 {
		r.Header.Set("Range", "bytes="+strconv.FormatInt(from, 10)+"-"+strconv.FormatInt(from+length-1, 10))
	}
	a, err := p.client.Do(r)
	if err != nil {
		return nil, trace.Wrap(errors.Join(ErrUnavailable, err))
	}
	if err := statusError(a.StatusCode); err != nil {
		a.Body.Close()
		return nil, trace.Wrap(err, "%s %s", s, path)
	}
	return a.Body, nil
}
