package fleet_test

import (
	"testing"

	"github.com/springrail/springrail/internal/spec"
)

func TestFleet(t *testing.T) {
	spec.Run(t, "End to end")
}
