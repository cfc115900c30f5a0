package records

import (
	"sync"
	"time"
)

// origin says where this process's newest records come from.
type origin struct {
	self string
	now  func() time.Time

	mu sync.Mutex
	// address is the process that has read them from the store. It keeps two processes from following each other: each
	// would hand on what it has from the other, ever older.
	address string
	// own is when this process last read the store itself.
	own time.Time
}

// newOrigin makes the origin of a process that has read nothing yet.
func newOrigin(self string, now func() time.Time) *origin {
	return &origin{self: self, now: now, own: now()}
}

// setOwn notes that this process has read the store.
func (o *origin) setOwn() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.address, o.own = o.self, o.now()
}

// set notes that the records come from another process.
func (o *origin) set(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.address = address
}

func (o *origin) get() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.address
}

func (o *origin) ownAt() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own
}
