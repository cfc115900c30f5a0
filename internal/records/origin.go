package records

import (
	"sync"
	"time"
)

// origin is the process that read this process's newest records from the store.
type origin struct {
	self string
	now  func() time.Time

	mu sync.Mutex
	// address is that process. Followers refuse a source whose origin is themselves: two processes that follow each
	// other would exchange ever older records.
	address string
	// storeReadAt is when this process itself last read the store.
	storeReadAt time.Time
}

// newOrigin returns the origin of a process that has read nothing yet.
func newOrigin(self string, now func() time.Time) *origin {
	return &origin{self: self, now: now, storeReadAt: now()}
}

// setFromStore notes that this process itself has read the store.
func (o *origin) setFromStore() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.address, o.storeReadAt = o.self, o.now()
}

// set notes the origin of records that come from another process.
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

func (o *origin) lastStoreRead() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.storeReadAt
}
