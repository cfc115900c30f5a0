package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// simulationStart is the time at which simulations begin, and patience how long callers wait for a silent upstream.
var simulationStart = time.Unix(1000, 0)

const patience = 2 * time.Second

// maxCutTime is the longest time for which upstreams are cut off.
const maxCutTime = 10 * time.Second

// simulationConfig configures a simulation.
type simulationConfig struct {
	gateways, upstreams int
	// proper is the rate of harmless requests per second, of which hotShare is one request that many callers send.
	proper   float64
	hotShare float64
	// bad is the number of requests that crash upstreams, each repeated badRate times a second.
	bad     int
	badRate float64
	// prompt draws the shared parts of a harmless request's prompt, and badPrompt those of one that crashes upstreams. If
	// badPrompt is set no two bad requests are alike.
	prompt    func(random *rand.Rand) []string
	badPrompt func(random *rand.Rand, bad string) []string
	// killRate is the rate per second at which killed upstreams are ended at once by something else.
	killRate float64
	killed   int
	// warmUp is the time before the first bad request and crash.
	warmUp time.Duration
	// crashRate is the rate per second of upstream crashes that no request causes.
	crashRate float64
	duration  time.Duration
	// shared makes the gateways exchange their crashes.
	shared bool
	// downtime is how long an upstream is down after a crash.
	downtime time.Duration
	// maxNoticedLate is how late a crash is noticed at most; until then the upstream is silent, and then it is back. Zero is at once.
	maxNoticedLate time.Duration
	// lapse is after which time an upstream that is lost in a crash is presumed to have ended; another one replaces it. Zero is never
	// lost. cutRate is the rate per second at which cut upstreams fall silent at once for up to maxCutTime, and live on.
	lapse   time.Duration
	cutRate float64
	cut     int
	// sender draws the organisation of a request; nil is one organisation that sends all.
	sender func(random *rand.Rand, now time.Duration, bad bool) id.Organisation
	// victimRate is the rate per second of harmless requests of one more organisation, which states the ID of the first part that
	// crashes upstreams for others.
	victimRate float64
}

// simulatedRequest is a request of a caller.
type simulatedRequest struct {
	name    string
	bad     bool
	gateway int
	// kind is the name of a harmless request, or what all bad requests have in common that crash upstreams for the same
	// reason. parts are the fingerprints of the shared parts of its prompt.
	kind   string
	parts  []Fingerprint
	sender id.Organisation
	// sent is when it was sent, and begins when its upstream begins the answer.
	sent, begins time.Duration
	// sends counts the upstreams that the caller's attempt was sent to, and retried is true once the caller has retried.
	sends          int
	attempt        CallerAttempt
	alone, retried bool
	// tried is what is held for others that it contains.
	tried Fingerprint
}
