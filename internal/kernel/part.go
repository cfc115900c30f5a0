// Package kernel starts and stops the parts of a process and holds what all of them share: settings, logger,
// clock and event ring. It knows no part by name; parts register themselves.
package kernel

import (
	"context"
	"errors"
	"slices"

	"github.com/gravitational/trace"
)

// ErrInvalidParts says that the parts linked into a binary do not fit together.
var ErrInvalidParts = errors.New("parts do not fit together")

// Part is one piece of a process that registers itself from its package's init.
type Part struct {
	// Name is what other parts name in Needs.
	Name string
	// Section is the settings section; empty where the part has no settings.
	Section string
	// Needs lists the parts that must be made before this one.
	Needs []string
	// Settings returns the section's defaults.
	Settings func() Section
	// New makes the part. The result may be a Runner or a Drainer or both.
	New func(h *Host) (any, error)
}

// Runner is a part with work of its own.
type Runner interface {
	// Run works until the context ends. An error stops the process.
	Run(ctx context.Context) error
}

// Drainer is a part that finishes work before a planned stop.
type Drainer interface {
	// Drain refuses new work and returns once the work in flight is done or the context ends.
	Drain(ctx context.Context)
}

// registry holds the parts that the binary links in.
var registry []Part

// Register adds a part; call it from init.
func Register(p Part) {
	registry = append(registry, p)
}

// Registered returns the parts of the binary.
func Registered() []Part {
	return slices.Clone(registry)
}

// Select returns the named parts of the binary with all that they need, so that a package may register parts for
// several programs.
func Select(names ...string) []Part {
	wanted := map[string]bool{}
	var want func(name string)
	want = func(name string) {
		if wanted[name] {
			return
		}
		wanted[name] = true
		for _, p := range registry {
			if p.Name == name {
				for _, n := range p.Needs {
					want(n)
				}
			}
		}
	}
	for _, n := range names {
		want(n)
	}
	return slices.DeleteFunc(Registered(), func(p Part) bool { return !wanted[p.Name] })
}

// order sorts parts so that each comes after those that it needs.
func order(parts []Part) ([]Part, error) {
	byName := map[string]Part{}
	for _, p := range parts {
		if _, twice := byName[p.Name]; twice {
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
			return trace.Wrap(ErrInvalidParts, "part %q is needed and not linked in", name)
		}
		switch state[name] {
		case 1:
			return trace.Wrap(ErrInvalidParts, "part %q needs itself", name)
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
