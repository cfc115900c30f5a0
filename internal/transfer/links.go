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
	// ErrBusy says that a neighbour has no free upload slot.
	ErrBusy = errors.New("the neighbour is busy")
	// ErrPeer says that a neighbour did not deliver.
	ErrPeer = errors.New("the neighbour did not deliver")
)

// maxManifest bounds a manifest in bytes.
const maxManifest = 8 << 20

// links makes a download's ways to others over the process's internal client and the platform.
func (m *Manager) links(r *pb.Rollout) Links {
	l := PeerLinks(m.rpc)
	l.Members = func() []Member { return m.members(r) }
	l.Draw = m.draw
	return l
}

// PeerLinks makes a download's ways to its neighbours over the process's internal client; Members and Draw are the
// caller's to set.
func PeerLinks(s *rpc.Server) Links {
	return Links{
		FetchChunk: func(ctx context.Context, address string, name id.Rollout, c id.Chunk, size int64) ([]byte, error) {
			return get(ctx, s, fmt.Sprintf("%s%s%s/%d", s.URL(address), chunkPath, name, c), size, true)
		},
		FetchManifest: func(ctx context.Context, address string, name id.Rollout) ([]byte, error) {
			return get(ctx, s, s.URL(address)+manifestPath+string(name), maxManifest, false)
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

// get takes size bytes, or up to size where exact is false.
func get(ctx context.Context, s *rpc.Server, url string, size int64, exact bool) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := s.ChunkClient().Do(r)
	if err != nil {
		return nil, trace.Wrap(errors.Join(ErrPeer, err))
	}
	defer a.Body.Close()
	switch a.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		// The connection is used again only once the answer is read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, writeBytes))
		return nil, trace.Wrap(ErrBusy)
	default:
		return nil, trace.Wrap(ErrPeer, "status %d", a.StatusCode)
	}
	if !exact {
		data, err := io.ReadAll(io.LimitReader(a.Body, size))
		return data, trace.Wrap(err)
	}
	return readSteadily(a.Body, size, stallAfter)
}

// stallAfter is how long a transfer may bring nothing.
const stallAfter = time.Second

// readSteadily reads size bytes and gives up once nothing comes for a time; it returns what it read also then.
func readSteadily(body io.ReadCloser, size int64, most time.Duration) ([]byte, error) {
	watchdog := time.AfterFunc(most, func() { _ = body.Close() })
	defer watchdog.Stop()
	data := make([]byte, size)
	for n := 0; n < len(data); {
		k, err := body.Read(data[n:])
		n += k
		watchdog.Reset(most)
		if err != nil && n < len(data) {
			return data[:n], trace.Wrap(errors.Join(ErrPeer, err))
		}
	}
	return data, nil
}

// draw asks the sources in the order of the rollout's objective: an organisation that saves origin bytes asks the
// store first.
func (m *Manager) draw(ctx context.Context, r *pb.Rollout, object string, from, length int64) (Drawn, error) {
	order := []platform.Source{platform.SourceOrigin}
	if m.platform.HasStore() {
		order = append(order, platform.SourceStore)
		if r.GetObjective() == pb.Objective_OBJECTIVE_ORIGIN_BYTES {
			order[0], order[1] = order[1], order[0]
		}
	}
	var got Drawn
	var err error
	for _, s := range order {
		var data []byte
		data, err = m.drawFrom(ctx, s, r.GetVersion().GetSource()+"/"+object, from, length)
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

// drawFrom returns what it read also where it fails, so that it can be counted.
func (m *Manager) drawFrom(ctx context.Context, s platform.Source, path string, from, length int64) ([]byte, error) {
	body, err := m.platform.OpenObject(ctx, s, path, from, length)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	if length < 0 {
		data, err := io.ReadAll(io.LimitReader(body, maxManifest))
		return data, trace.Wrap(err)
	}
	data := make([]byte, length)
	n, err := io.ReadFull(body, data)
	return data[:n], trace.Wrap(err)
}
