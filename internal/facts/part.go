package facts

import (
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/kernel"
)

// PartName is what other parts name in their needs.
const PartName = "facts"

func init() {
	kernel.Register(kernel.Part{
		Name: PartName,
		New:  func(*kernel.Host) (any, error) { return New(clock.Now), nil },
	})
}
