package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/swarm"
)

var (
	// ErrBusy means that a neighbour has no free upload slot.
	ErrBusy = errors.New("the neighbour is busy")
	// ErrPeerFailed means that a transfer from a neighbour failed.
	ErrPeerFailed = errors.New("the neighbour did not deliver")
)

// maxManifestBytes bounds the size of a manifest.
const maxManifestBytes = 8 << 20

// transport returns a download's transport over the internal RPC client and the platform.
func (m *Manager) transport(r *pb.Rollout) Transport {
	l := PeerTransport(m.rpc)
	l.Members = func() []Member { return m.members(r) }
	l.FetchFromSource = m.fetchFromSource
	return l
}

// PeerTransport returns a transport to neighbours over the internal RPC client; the caller sets Members and
// FetchFromSource.
func PeerTransport(s *rpc.Server) Transport {
	return Transport{
		FetchChunk: func(ctx context.Context, address string, name id.Rollout, c id.Chunk, size int64) ([]byte, error) {
			return httpGet(ctx, s, fmt.Sprintf("%s%s%s/%d", s.URL(address), chunkPath, name, c), size, true)
		},
		FetchManifest: func(ctx context.Context, address string, name id.Rollout) ([]byte, error) {
			return httpGet(ctx, s, s.URL(address)+manifestPath+string(name), maxManifestBytes, false)
		},
		Have: func(ctx context.Context, address string, q *pb.HaveRequest) (*pb.HaveResponse, error) {
			return s.Swarm(address).Have(ctx, q)
		},
	}
}

func (m *Manager) members(r *pb.Rollout) []Member {
	var l []Member
	self := false
	for _, v := range m.follower.List.Get().GetVms() {
		if !config.IsTarget(r, v) {
			continue
		}
		self = self || id.VM(v.GetId()) == m.self.VM
		l = append(l, Member{
			Member:  swarm.Member{VM: id.VM(v.GetId()), Domain: id.Domain(v.GetDomain())},
			Address: v.GetAddress(),
		})
	}
	if !self {
		l = append(l, Member{Member: m.self, Address: m.follower.Self().GetAddress()})
	}
	return l
}

// httpGet fetches a URL and returns exactly size bytes, or up to size bytes if exact is false.
func httpGet(ctx context.Context, s *rpc.Server, url string, size int64, exact bool) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := s.ChunkClient().Do(r)
	if err != nil {
		return nil, trace.Wrap(errors.Join(ErrPeerFailed, err))
	}
	defer a.Body.Close()
	switch a.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		// The connection is only reused if the response is read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, writeSize))
		return nil, trace.Wrap(ErrBusy)
	default:
		return nil, trace.Wrap(ErrPeerFailed, "status %d", a.StatusCode)
	}
	if !exact {
		data, err := io.ReadAll(io.LimitReader(a.Body, size))
		return data, trace.Wrap(err)
	}
	return readWithStallTimeout(a.Body, size, stallTimeout)
}

// stallTimeout is how long a transfer may receive no bytes.
const stallTimeout = time.Second

// readWithStallTimeout reads size bytes and fails if none arrive for the timeout; in that case it returns those that it
// read.
func readWithStallTimeout(body io.ReadCloser, size int64, timeout time.Duration) ([]byte, error) {
	watchdog := time.AfterFunc(timeout, func() { _ = body.Close() })
	defer watchdog.Stop()
	data := make([]byte, size)
	for n := 0; n < len(data); {
		k, err := body.Read(data[n:])
		n += k
		watchdog.Reset(timeout)
		if err != nil && n < len(data) {
			return data[:n], trace.Wrap(errors.Join(ErrPeerFailed, err))
		}
	}
	return data, nil
}

// fetchFromSource tries the sources in the order of the rollout's objective: organisations that save origin bytes use
// the store first.
func (m *Manager) fetchFromSource(ctx context.Context, r *pb.Rollout, object string, from, length int64) (SourceData, error) {
	order := []platform.Source{platform.SourceOrigin}
	if m.platform.HasStore() {
		order = append(order, platform.SourceStore)
		if r.GetObjective() == pb.Objective_OBJECTIVE_ORIGIN_BYTES {
			order[0], order[1] = order[1], order[0]
		}
	}
	var got SourceData
	var err error
	for _, s := range order {
		var data []byte
		data, err = m.fetchFrom(ctx, s, r.GetVersion().GetSource()+"/"+object, from, length)
		if s == platform.SourceOrigin {
			got.OriginBytes += int64(len(data))
			m.stats.origin.Add(int64(len(data)))
		} else {
			m.stats.store.Add(int64(len(data)))
		}
		if err == nil {
			got.Data = data
			return got, nil
		}
	}
	return got, err
}

// fetchFrom also returns the bytes read before a failure, so that they can be counted.
func (m *Manager) fetchFrom(ctx context.Context, s platform.Source, path string, from, length int64) ([]byte, error) {
	body, err := m.platform.OpenObject(ctx, s, path, from, length)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	if length < 0 {
		data, err := io.ReadAll(io.LimitReader(body, maxManifestBytes))
		return data, trace.Wrap(err)
	}
	data := make([]byte, length)
	n, err := io.ReadFull(body, data)
	return data[:n], trace.Wrap(err)
}
