package fleet

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/manifest"
)

// Publish uploads random content of a size to the origin and returns the version that pins its manifest, and the content.
func (f *Fleet) Publish(name string, size, chunk int) (*pb.Version, []byte, error) {
	content := make([]byte, size)
	r := rand.NewChaCha8(sha256.Sum256([]byte(fmt.Sprint(f.size.Seed, name))))
	_, _ = r.Read(content)
	m, err := manifest.New(bytes.NewReader(content), uint64(chunk))
	if err != nil {
		return nil, nil, err
	}
	raw, err := manifest.Encode(m)
	if err != nil {
		return nil, nil, err
	}
	source := Organisation + "/" + Model + "/" + name
	f.Platform.Origin.Put(source+"/content", content)
	f.Platform.Origin.Put(source+"/manifest", raw)
	sum := sha256.Sum256(raw)
	return &pb.Version{
		Model: Model, Name: name, Source: source, ManifestSha256: sum[:], TotalBytes: m.GetTotalBytes(),
		ChunkBytes: m.GetChunkBytes(),
	}, content, nil
}

// Append appends a change to the log, as an entry does.
func (f *Fleet) Append(c *pb.Change) error {
	data, err := proto.Marshal(&pb.Record{Body: &pb.Record_Change{Change: c}})
	if err != nil {
		return err
	}
	f.Platform.Log.Append(data)
	return nil
}

// CreateRollout appends a rollout of a version. If first is set, it appends the organisation before.
func (f *Fleet) CreateRollout(v *pb.Version, o pb.Objective, first bool, base uint64) error {
	if first {
		err := f.Append(&pb.Change{
			ChangeId: "organisation", Organisation: Organisation,
			Operation: &pb.Change_PutOrganisation{PutOrganisation: &pb.PutOrganisation{
				Organisation: &pb.Organisation{
					Id: Organisation, Objective: o, OperatorTokenSha256: secretHash(OperatorToken),
					CallerKeySha256: secretHash(CallerKey),
				},
			}},
		})
		if err != nil {
			return err
		}
	}
	return f.Append(&pb.Change{
		ChangeId: v.GetName(), Organisation: Organisation, BaseRevision: base,
		Operation: &pb.Change_CreateRollout{CreateRollout: &pb.CreateRollout{Rollout: &pb.Rollout{
			Id: "rollout-" + v.GetName(), Organisation: Organisation, Version: v, Objective: o,
		}}},
	})
}

func secretHash(secret string) [][]byte {
	sum := sha256.Sum256([]byte(secret))
	return [][]byte{sum[:]}
}

// KeyHash returns the hash of the organisation's caller key.
func (f *Fleet) KeyHash() [][]byte {
	return secretHash(CallerKey)
}
