package facts

import (
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/kernel"
)

// PartName is the name under which other parts list the facts as a dependency.
const PartName = "facts"

func init() {
	kernel.Register(kernel.Part{
		Name: PartName,
		New:  func(*kernel.Host) (any, error) { return New(clock.Now), nil },
	})
}
