package cmd

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/springrail/springrail/internal/manifest"
)

const (
	// targetChunks is the intended maximum number of chunks of a version. It is large enough that filling the swarm's
	// pipeline takes a small part of the transfer. It is small enough that a transfer of several minutes uses less than
	// 14 KB/s for control messages, at about 3 KB per chunk (docs/MEASUREMENTS.md).
	targetChunks  = 1000
	minChunkBytes = 64 << 10
	maxChunkBytes = 256 << 20
)

// chunkBytesFor returns the smallest power of two, within the chunk size limits, that splits content of a size into at
// most targetChunks chunks.
func chunkBytesFor(size int64) uint64 {
	chunk := uint64(minChunkBytes)
	for chunk < maxChunkBytes && chunk*targetChunks < uint64(size) {
		chunk *= 2
	}
	return chunk
}

var cmdManifest = command{
	name: "manifest",
	help: "Hash a file of weights into a manifest to put beside it at the origin.",
	setup: func(c *kingpin.CmdClause) action {
		in := c.Arg("content", "File of weights.").Required().String()
		out := c.Arg("manifest", "File to write.").Required().String()
		chunk := c.Flag("chunk", "Size of a chunk; 0 chooses one for about a thousand chunks.").Default("0B").Bytes()
		return func(_ context.Context, e *env) error {
			f, err := os.Open(*in)
			if err != nil {
				return err
			}
			defer f.Close()
			size := uint64(*chunk)
			if size == 0 {
				i, err := f.Stat()
				if err != nil {
					return err
				}
				size = chunkBytesFor(i.Size())
			}
			m, err := manifest.New(f, size)
			if err != nil {
				return err
			}
			raw, err := manifest.Encode(m)
			if err != nil {
				return err
			}
			if err := os.WriteFile(*out, raw, 0o644); err != nil {
				return err
			}
			fmt.Fprintf(e.out, "%x\n", sha256.Sum256(raw))
			return nil
		}
	},
}
