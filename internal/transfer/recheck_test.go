package transfer

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/manifest"
)

// unpinnedSource is a source whose rollout pins no hash. Its first manifests are corrupt.
type unpinnedSource struct {
	*fakeSource
	// corrupt are the chunks with a corrupt hash in each of the first manifests.
	corrupt   [][]id.Chunk
	mu        sync.Mutex
	manifests int
}

func newUnpinnedSource(chunks int, corrupt ...[]id.Chunk) *unpinnedSource {
	s := &unpinnedSource{fakeSource: newFakeSource(chunks), corrupt: corrupt}
	s.rollout.Version.ManifestSha256 = nil
	return s
}

func (s *unpinnedSource) fetch(ctx context.Context, r *pb.Rollout, object string, from, length int64) (SourceData, error) {
	if object != objectManifest {
		return s.fetchFromSource(ctx, r, object, from, length)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifests++
	if s.manifests > len(s.corrupt) {
		return SourceData{Data: s.raw}, nil
	}
	return SourceData{Data: s.corruptManifest(s.corrupt[s.manifests-1])}, nil
}

// corruptManifest returns the manifest with one byte of the hashes of some chunks changed.
func (s *unpinnedSource) corruptManifest(chunks []id.Chunk) []byte {
	m := &pb.Manifest{}
	Expect(proto.Unmarshal(s.raw, m)).To(Succeed())
	for _, c := range chunks {
		m.ChunkSha256[c][3] ^= 1
	}
	raw, err := manifest.Encode(m)
	Expect(err).NotTo(HaveOccurred())
	return raw
}

var _ = Describe("a download whose rollout pins no manifest", func() {
	DescribeTable("completes although the first manifests are corrupt, and passes the right one on",
		func(corrupt ...[]id.Chunk) {
			s := newUnpinnedSource(8, corrupt...)
			d := newTestDownload(s.fakeSource, 0, func(l *Transport) { l.FetchFromSource = s.fetch })
			Expect(finish(d, 5*time.Second)).To(BeTrue())
			Expect(d.holding.Manifest()).To(Equal(s.raw))
		},
		Entry("in one chunk", []id.Chunk{3}),
		Entry("in all chunks", []id.Chunk{0, 1, 2, 3, 4, 5, 6, 7}),
		Entry("twice, in the same chunk and another one", []id.Chunk{3}, []id.Chunk{3, 5}),
	)

	It("completes although a neighbour has passed a corrupt manifest on", func() {
		s := newUnpinnedSource(8)
		d := newTestDownload(s.fakeSource, 0, func(l *Transport) { l.FetchFromSource = s.fetch })
		Expect(d.holding.SetManifest(s.corruptManifest([]id.Chunk{0, 7}))).To(Succeed())
		Expect(finish(d, 5*time.Second)).To(BeTrue())
		Expect(d.holding.Manifest()).To(Equal(s.raw))
	})

	It("compares the manifest ever more rarely while the origin sends only corrupt bytes", func() {
		s := newUnpinnedSource(8)
		s.damage = func(int64) bool { return true }
		d := newTestDownload(s.fakeSource, 0, func(l *Transport) { l.FetchFromSource = s.fetch })
		d.settings.TakeoverDelay = 20 * time.Millisecond
		Expect(finish(d, time.Second)).To(BeFalse())
		s.mu.Lock()
		defer s.mu.Unlock()
		// The first one, comparisons at once and after 20, 40, 80, 160, 320 and 640 ms, and checks of whether the origin answers.
		Expect(s.manifests).To(BeNumerically("<=", 8+1))
	})
})

var _ = Describe("a download whose rollout pins a manifest", func() {
	It("accepts no bytes by another one", func() {
		s := newFakeSource(4)
		h := NewHolding(s.rollout, 1)
		Expect(h.SetManifest(s.raw)).To(Succeed())
		o := &unpinnedSource{fakeSource: s}
		Expect(h.AddAlternative(o.corruptManifest([]id.Chunk{0}))).To(MatchError(ErrCorrupt))
		Expect(h.alternatives).To(BeEmpty())
	})
})
