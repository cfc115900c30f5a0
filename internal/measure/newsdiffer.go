package measure

import (
	"fmt"
	"maps"
	"slices"
)

// differences compares the state of all running processes with the store: the records that they have applied, and the
// upstreams that they would route to.
func (r *newsRun) differences() []newsDifference {
	r.mu.Lock()
	want := maps.Clone(r.listed)
	r.mu.Unlock()
	version := 0
	for i := range r.plan.changes {
		if c := &r.plan.changes[i]; c.stage == newsConfig && c.ackedAt > 0 {
			version = max(version, c.version)
		}
	}
	l := []newsDifference{}
	for _, p := range r.processes {
		if p.ctx.Err() == nil {
			l = append(l, p.differences(want, version)...)
		}
	}
	return l
}

func (p *newsProcess) differences(want map[string]newsStage, version int) []newsDifference {
	stages, got := p.observer.state()
	var l []newsDifference
	add := func(key, holds, store string) {
		l = append(l, newsDifference{Process: p.name, Key: key, Holds: holds, Store: store})
	}
	if got != version {
		add(newsConfigKey, fmt.Sprint(got), fmt.Sprint(version))
	}
	routed := map[string]newsStage{}
	for _, i := range p.facts.Instances() {
		routed[string(i.ID)] = newsPresent
		if i.Leaving {
			routed[string(i.ID)] = newsLeaving
		}
	}
	all := maps.Clone(want)
	maps.Copy(all, stages)
	maps.Copy(all, routed)
	for _, key := range slices.Sorted(maps.Keys(all)) {
		switch w := want[key]; {
		case stages[key] != w:
			add(key, stages[key].String(), w.String())
		case routed[key] != w:
			add(key, "routed: "+routed[key].String(), w.String())
		}
	}
	return l
}
