// Package manifest creates and verifies manifests: the lists of chunk hashes that define a version's content.
package manifest

import (
	"crypto/sha256"
	"errors"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
)

// ErrMismatch is returned if a manifest does not match the hash or the sizes of its version.
var ErrMismatch = errors.New("the manifest does not match the version")

// New computes the manifest of some content, divided into chunks of chunkBytes.
func New(content io.Reader, chunkBytes uint64) (*pb.Manifest, error) {
	m := &pb.Manifest{ChunkBytes: chunkBytes}
	buffer := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(content, buffer)
		if n > 0 {
			sum := sha256.Sum256(buffer[:n])
			m.ChunkSha256 = append(m.ChunkSha256, sum[:])
			m.TotalBytes += uint64(n)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return m, nil
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

// Encode returns the deterministic encoding of a manifest. A rollout pins the SHA-256 sum of it.
func Encode(m *pb.Manifest) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// Decode parses the manifest of a version and returns ErrMismatch if its hash or its sizes differ from those of the version.
// A version without a pinned hash, which occurs only on a platform that numbers its versions, is checked by the sizes alone.
func Decode(raw []byte, v *pb.Version) (*pb.Manifest, error) {
	pin := v.GetManifestSha256()
	if sum := sha256.Sum256(raw); len(pin) > 0 && string(sum[:]) != string(pin) {
		return nil, trace.Wrap(ErrMismatch, "its hash differs")
	}
	m := &pb.Manifest{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return nil, trace.Wrap(errors.Join(ErrMismatch, err))
	}
	same := m.GetTotalBytes() == v.GetTotalBytes() && m.GetChunkBytes() == v.GetChunkBytes()
	if !same || uint64(len(m.GetChunkSha256())) != config.ChunkCount(v) {
		return nil, trace.Wrap(ErrMismatch, "its sizes differ")
	}
	for _, s := range m.GetChunkSha256() {
		if len(s) != sha256.Size {
			return nil, trace.Wrap(ErrMismatch, "a chunk hash has %d bytes", len(s))
		}
	}
	return m, nil
}
