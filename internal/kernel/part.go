// Package kernel starts and stops the parts (components) of a process and provides what all of them share: settings,
// logger, clock and event ring. Parts register themselves, so the package depends on none of them.
package kernel

import (
	"context"
	"errors"
	"slices"

	"github.com/gravitational/trace"
)

// ErrInvalidParts is returned if a part is registered twice, depends on an unregistered part or is in a dependency cycle.
var ErrInvalidParts = errors.New("invalid set of parts")

// Part describes a component of a process. Its package registers it from init.
type Part struct {
	// Name identifies the part; other parts list it in Needs.
	Name string
	// Section is the name of the part's settings section; it is empty if the part has no settings.
	Section string
	// Needs lists the names of the parts that this one depends on. They are created first.
	Needs []string
	// Settings returns the section with its default values.
	Settings func() Section
	// New creates the part. The result may implement Runner, Drainer and ReadinessReporter.
	New func(h *Host) (any, error)
}

// Runner is implemented by parts that run in the background.
type Runner interface {
	// Run blocks until the context ends. An error that it returns begins a graceful shutdown of the process.
	Run(ctx context.Context) error
}

// Drainer is implemented by parts that finish requests in flight before a graceful shutdown.
type Drainer interface {
	// Drain rejects new requests and returns once those in flight are finished or the context ends.
	Drain(ctx context.Context)
}

// registry holds the registered parts, which are those of the packages linked into the binary.
var registry []Part

// Register adds a part to the registry. It must be called from an init function.
func Register(p Part) {
	registry = append(registry, p)
}

// Registered returns all parts of the registry.
func Registered() []Part {
	return slices.Clone(registry)
}

// Select returns the named parts of the registry with all their dependencies, so that a package can register parts for
// several programs.
func Select(names ...string) []Part {
	wanted := map[string]bool{}
	var add func(name string)
	add = func(name string) {
		if wanted[name] {
			return
		}
		wanted[name] = true
		for _, p := range registry {
			if p.Name == name {
				for _, n := range p.Needs {
					add(n)
				}
			}
		}
	}
	for _, n := range names {
		add(n)
	}
	return slices.DeleteFunc(Registered(), func(p Part) bool { return !wanted[p.Name] })
}

// sortByDependencies sorts parts topologically: each part comes after those that it depends on.
func sortByDependencies(parts []Part) ([]Part, error) {
	byName := map[string]Part{}
	for _, p := range parts {
		if _, duplicate := byName[p.Name]; duplicate {
			return nil, trace.Wrap(ErrInvalidParts, "part %q is registered twice", p.Name)
		}
		byName[p.Name] = p
	}
	var sorted []Part
	state := map[string]int{}
	var visit func(name string) error
	visit = func(name string) error {
		p, ok := byName[name]
		if !ok {
			return trace.Wrap(ErrInvalidParts, "part %q is needed by another part but not registered", name)
		}
		switch state[name] {
		case 1:
			return trace.Wrap(ErrInvalidParts, "part %q depends on itself", name)
		case 2:
			return nil
		}
		state[name] = 1
		for _, n := range p.Needs {
			if err := visit(n); err != nil {
				return err
			}
		}
		state[name] = 2
		sorted = append(sorted, p)
		return nil
	}
	for _, p := range parts {
		if err := visit(p.Name); err != nil {
			return nil, err
		}
	}
	return sorted, nil
}
