package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/fleet"
	"github.com/springrail/springrail/internal/id"
)

// baseline distributes a version over a fixed topology instead of the swarm: each VM fetches the chunks in order from
// one fixed source, over the same links as the swarm.
type baseline struct {
	fleet     *fleet.Fleet
	version   *pb.Version
	strategy  string
	nodes     []*baselineNode
	mu        sync.Mutex
	completed map[id.VM]bool
}

// baselineNode is one VM of a baseline; it serves the chunks that it holds to its children.
type baselineNode struct {
	agent   *fleet.Agent
	address string
	mu      sync.Mutex
	chunks  [][]byte
	changed chan struct{}
}

func newBaseline(f *fleet.Fleet, v *pb.Version, strategy string) *baseline {
	return &baseline{fleet: f, version: v, strategy: strategy, completed: map[id.VM]bool{}}
}

func (b *baseline) complete(a *fleet.Agent) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.completed[a.VM]
}

func (b *baseline) start(ctx context.Context) {
	for _, a := range b.fleet.Agents {
		n := &baselineNode{agent: a, chunks: make([][]byte, config.ChunkCount(b.version)), changed: make(chan struct{})}
		b.nodes = append(b.nodes, n)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return
		}
		n.address = l.Addr().String()
		server := &http.Server{Handler: n, ReadHeaderTimeout: time.Second}
		b.fleet.Goroutines.Go(func() {
			stop := context.AfterFunc(ctx, func() { _ = server.Close() })
			defer stop()
			_ = server.Serve(a.Link.Listener(l))
		})
	}
	for i, n := range b.nodes {
		b.fleet.Goroutines.Go(func() { b.fetch(ctx, i, n) })
	}
}

// parent returns the node that a VM fetches from; nil means the origin.
func (b *baseline) parent(i int) *baselineNode {
	switch {
	case i == 0 || b.strategy == strategyOrigin:
		return nil
	case b.strategy == strategyChain:
		return b.nodes[i-1]
	default:
		return b.nodes[(i-1)/2]
	}
}

func (b *baseline) fetch(ctx context.Context, i int, n *baselineNode) {
	client := &http.Client{Transport: &http.Transport{DialContext: b.fleet.Dialer(n.agent)}}
	for c := range n.chunks {
		data, err := b.fetchChunk(ctx, client, b.parent(i), c)
		if err != nil {
			return
		}
		n.storeChunk(c, data)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.completed[n.agent.VM] = true
}

func (b *baseline) fetchChunk(ctx context.Context, client *http.Client, from *baselineNode, c int) ([]byte, error) {
	chunk := int(b.version.GetChunkBytes())
	start := c * chunk
	end := min(start+chunk, int(b.version.GetTotalBytes()))
	url := b.fleet.PlatformURL + "/origin/" + b.version.GetSource() + "/content"
	if from != nil {
		url = fmt.Sprintf("http://%s/%d", from.address, c)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", start, end-1))
	a, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	return io.ReadAll(a.Body)
}

func (n *baselineNode) storeChunk(c int, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.chunks[c] = data
	close(n.changed)
	n.changed = make(chan struct{})
}

// ServeHTTP sends a chunk, waiting until the VM holds it.
func (n *baselineNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c int
	if _, err := fmt.Sscanf(r.URL.Path, "/%d", &c); err != nil || c >= len(n.chunks) {
		http.NotFound(w, r)
		return
	}
	for {
		n.mu.Lock()
		data, change := n.chunks[c], n.changed
		n.mu.Unlock()
		if data != nil {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-change:
		}
	}
}
