// Package manifest makes and checks the lists of chunk hashes that pin a version's content.
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

// ErrMismatch says that a manifest is not the one that a version pins.
var ErrMismatch = errors.New("not the manifest that the version pins")

// New hashes content into a manifest.
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

// Encode returns the bytes that a rollout pins.
func Encode(m *pb.Manifest) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// Decode reads the manifest that a version pins; it is ErrMismatch where the hash or the sizes differ. A version without a
// pin, which only a platform that names versions by number has, is checked by its sizes alone.
func Decode(raw []byte, v *pb.Version) (*pb.Manifest, error) {
	pin := v.GetManifestSha256()
	if sum := sha256.Sum256(raw); len(pin) > 0 && string(sum[:]) != string(pin) {
		return nil, trace.Wrap(ErrMismatch, "another hash")
	}
	m := &pb.Manifest{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return nil, trace.Wrap(errors.Join(ErrMismatch, err))
	}
	same := m.GetTotalBytes() == v.GetTotalBytes() && m.GetChunkBytes() == v.GetChunkBytes()
	if !same || uint64(len(m.GetChunkSha256())) != config.ChunkCount(v) {
		return nil, trace.Wrap(ErrMismatch, "other sizes")
	}
	for _, s := range m.GetChunkSha256() {
		if len(s) != sha256.Size {
			return nil, trace.Wrap(ErrMismatch, "a hash of %d bytes", len(s))
		}
	}
	return m, nil
}
