package kernel

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/spec"
)

func TestKernel(t *testing.T) {
	spec.Run(t, "The kernel")
}

// sample is a settings section with a field of each supported type.
type sample struct {
	Name  string            `toml:"name"`
	Count int               `toml:"count"`
	Share float64           `toml:"share"`
	On    bool              `toml:"on"`
	Wait  time.Duration     `toml:"wait"`
	List  []string          `toml:"list"`
	Table map[string]string `toml:"table"`
}

func (s *sample) Check(c *Checker) {
	c.Require(s.Name != "", "name", "a name")
	c.Require(s.Count > 0, "count", "a whole number above 0")
}

var _ = Describe("settings", func() {
	load := func(text string) []string {
		file := filepath.Join(GinkgoT().TempDir(), "s.toml")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		var l []string
		for _, p := range LoadSettings(file, map[string]Section{"sample": &sample{}}) {
			l = append(l, p.String()[len(file)+1:])
		}
		return l
	}

	DescribeTable("report every invalid line", func(text string, want ...string) {
		Expect(load(text)).To(Equal(want))
	},
		Entry("missing key", "[sample]\ncount = 1\n", "1: sample.name: is missing, want a name"),
		Entry("missing section", "", "1: sample.name: is missing, want a name", "1: sample.count: is missing, want a whole number above 0"),
		Entry("value that is not allowed", "[sample]\nname = \"a\"\ncount = -3\n", "3: sample.count: got -3, want a whole number above 0"),
		Entry("several wrong types at once", "[sample]\nname = 1\ncount = \"x\"\nshare = true\non = 1\nwait = \"soon\"\nlist = [1]\ntable = { a = 1 }\n",
			`2: sample.name: got 1, want a text in quotes`,
			`3: sample.count: got x, want a whole number`,
			`4: sample.share: got true, want a number`,
			`5: sample.on: got 1, want true or false`,
			`6: sample.wait: got soon, want a time such as "500ms" or "10s"`,
			`7: sample.list: got [1], want a list of texts such as ["a", "b"]`,
			`8: sample.table: got map[a:1], want a table of texts such as { a = "x", b = "y" }`),
		Entry("no table", "[sample]\nname = \"a\"\ncount = 1\ntable = 1\n",
			`4: sample.table: got 1, want a table of texts such as { a = "x", b = "y" }`),
		Entry("unknown key", "[sample]\nname = \"a\"\ncount = 1\nnme = \"b\"\n", "4: sample.nme: unknown key, want one of name, count, share, on, wait, list, table"),
		Entry("unknown section", "[sample]\nname = \"a\"\ncount = 1\n[smaple]\n", "4: smaple: unknown section, want one of sample"),
		Entry("syntax", "[sample]\nname = \n", "2: syntax: toml: unexpected character U+000A at start of value"),
	)

	It("are read from a valid file", func() {
		s := &sample{}
		file := filepath.Join(GinkgoT().TempDir(), "s.toml")
		text := "[sample]\nname = \"a\"\ncount = 2\nshare = 1\non = true\nwait = \"2s\"\nlist = [\"x\"]\n[sample.table]\nk-1 = \"v\"\n"
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		Expect(LoadSettings(file, map[string]Section{"sample": s})).To(BeEmpty())
		Expect(*s).To(Equal(sample{
			Name: "a", Count: 2, Share: 1, On: true, Wait: 2 * time.Second, List: []string{"x"}, Table: map[string]string{"k-1": "v"},
		}))
	})

	It("report a file that can't be read", func() {
		Expect(LoadSettings("/nowhere/s.toml", nil)[0].String()).To(ContainSubstring("no such file"))
	})
})

var _ = Describe("the clock", func() {
	It("returns increasing timestamps, later than those of received messages, while the wall clock jumps", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			wall := int64(1000)
			c := NewClock(func() time.Time { return time.UnixMilli(wall) })
			last := Time{}
			for range rapid.IntRange(1, 50).Draw(t, "steps") {
				wall += rapid.Int64Range(-5000, 5000).Draw(t, "jump")
				if rapid.Bool().Draw(t, "message") {
					seen := Time{WallUnixMs: rapid.Int64Range(0, 20000).Draw(t, "wall"), Logical: 3}
					c.Observe(seen)
					if last.Before(seen) {
						last = seen
					}
				}
				now := c.Now()
				if !last.Before(now) {
					t.Fatalf("%v is not after %v", now, last)
				}
				last = now
			}
		})
	})
})

var _ = Describe("parts", func() {
	newPart := func(name string, needs ...string) Part { return Part{Name: name, Needs: needs} }
	It("are sorted after their dependencies", func() {
		l, err := sortByDependencies([]Part{newPart("a", "b"), newPart("b", "c"), newPart("c")})
		Expect(err).NotTo(HaveOccurred())
		Expect([]string{l[0].Name, l[1].Name, l[2].Name}).To(Equal([]string{"c", "b", "a"}))
	})
	DescribeTable("that form an invalid set are rejected", func(parts ...Part) {
		_, err := sortByDependencies(parts)
		Expect(err).To(MatchError(ErrInvalidParts))
	},
		Entry("missing", newPart("a", "b")), Entry("cycle", newPart("a", "b"), newPart("b", "a")), Entry("duplicate", newPart("a"), newPart("a")))
})

var _ = Describe("the event ring", func() {
	It("overwrites the oldest events and numbers all of them", func() {
		r := NewEventRing(NewClock(time.Now), 3)
		for range 5 {
			r.Add(Event{Kind: EventChangeRequested})
		}
		l := r.List(func(Event) bool { return true })
		Expect(l).To(HaveLen(3))
		Expect(l[0].Sequence).To(Equal(uint64(3)))
		Expect(l[2].Sequence).To(Equal(uint64(5)))
	})
})

// serving is a part with one request in flight.
type serving struct {
	finish, drained chan struct{}
	ended           bool
}

// Run implements Runner.
func (p *serving) Run(ctx context.Context) error {
	<-ctx.Done()
	p.ended = true
	return nil
}

// Drain implements Drainer: it returns once the request in flight is finished.
func (p *serving) Drain(ctx context.Context) {
	close(p.drained)
	select {
	case <-p.finish:
	case <-ctx.Done():
	}
}

// failing is a part whose Run returns what it is given.
type failing chan error

// Run implements Runner.
func (p failing) Run(context.Context) error {
	return <-p
}

var _ = Describe("a host one of whose parts fails", func() {
	// Guards against a part that fails and ends the process with the requests in flight of all other parts.
	DescribeTable("finishes the requests in flight and returns the error", func(beforeStop bool) {
		p, f := &serving{finish: make(chan struct{}), drained: make(chan struct{})}, make(failing)
		parts := []Part{
			{Name: "serving", New: func(*Host) (any, error) { return p, nil }},
			{Name: "failing", New: func(*Host) (any, error) { return f, nil }},
		}
		l := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}}
		h, err := NewHost(parts, DefaultSections(parts), l, NewClock(time.Now))
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		returned := make(chan error, 1)
		go func() { returned <- h.Run(ctx) }()
		failure := errors.New("the listener failed")
		if beforeStop {
			f <- failure
		} else {
			stop()
			Eventually(p.drained).Should(BeClosed())
			f <- failure
		}
		Eventually(p.drained).Should(BeClosed())
		Consistently(returned).ShouldNot(Receive())
		close(p.finish)
		Eventually(returned).Should(Receive(MatchError(failure)))
		Expect(p.ended).To(BeTrue())
	},
		Entry("while it runs", true),
		Entry("during a planned stop", false))
})
