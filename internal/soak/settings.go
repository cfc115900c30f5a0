package soak

import (
	"fmt"
	"strings"
	"time"
)

// Settings are what one run takes.
type Settings struct {
	Seed     uint64
	Seconds  int
	Gateways int
	Stagers  int
	Domains  int
	// EngineShare is the share of departures that are of engines and not of plain upstreams.
	EngineShare float64
	// Faults names what may be drawn; empty is all.
	Faults []string
	BinDir string
	// LogDir is the folder for the processes' logs.
	LogDir string
}

const (
	// swapWithin is how soon after its naming a version must be the only one in use; it is short so that a run has several.
	swapWithin = 8 * time.Second
	// grace is the time for a planned stop: the quiet of a leaving gateway takes 3 s of it.
	grace = 8 * time.Second
	// plainUpstreams are cheap, as they need no process: enough for two departures a second.
	plainUpstreams = 40
	// chunks and chunkBytes are the shape of a version's weights, small as fetching is not what is tried here.
	chunks, chunkBytes = 8, 1024
)

// The topics and keys of the platform's store.
const (
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
	configKey     = "config"
	model         = "m"
	versionKey    = "version/" + model
)

const (
	// bothText begins the settings of each program; the arguments are name, domain, grace, store, IP number and swapWithin.
	bothText = `[process]
vm = %[1]q
domain = %[2]q
drain = "%[3]s"
[store]
address = %[4]q
[internal]
listen = "%[5]s:7700"
plain = true
[metrics]
listen = "%[5]s:9464"
[records]
config_wait = "700ms"
list_every = "700ms"
`
	gatewayText = bothText + `[gateway]
listen = "%[5]s:8005"
swap_within = "%[6]s"
[subscriber]
listen = "%[5]s:7700"
port = 7700
[readiness]
listen = "%[5]s:8002"
`
	stagerText = bothText + `start_wait = "600ms"
[stager]
pool = "engines"
peer_port = 7700
swap_within = "%[6]s"
memory_bytes = 1048576
[upstream]
address = "%[5]s:8001"
[reporter]
listen = "%[5]s:7700"
port = 7700
`
	route      = `{"name":%q,"host":"h.example","pathPrefix":%q,"kind":%q,"timeoutMs":6000,"targetLatencyMs":2000,"service":%q,"maxAttempts":%d%s}`
	configText = `{"version":%d,"routes":[%s],"services":[{"name":"engines","engine":{"slots":16,"stride":5,"step_ms":9,
"read_per_s":20000,"chunk":2048,"layers":1,"chunks":%d,"chunk_bytes":%d,"usual":{"prompt":100,"answer":60},
"models":[{"name":"m","warmS":0.1}]}},{"name":"desk"},{"name":"origin","origin":%q}],
"tenants":[{"name":"gym","apiKeys":["k"]}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536}}`
	// bigRoutes makes a configuration of about 400 KB.
	bigRoutes = 2500
	// keptRoutes is how many newer configurations keep the route of one.
	keptRoutes = 4
)

// configOf writes a configuration; each has a route of its own, by which callers see that it is in force.
func configOf(version int, big bool, origin string) []byte {
	l := []string{
		fmt.Sprintf(route, "chat", "/chat/", "streaming", "engines", 3, `,"streamResume":true,"gap_aim_ms":400`),
		fmt.Sprintf(route, "desk", "/desk/", "unsafe", "desk", 1, ""),
		fmt.Sprintf(route, "look", "/look/", "safe", "desk", 3, ""),
	}
	for n := max(1, version-keptRoutes); n <= version; n++ {
		l = append(l, fmt.Sprintf(route, fmt.Sprint("own", n), configPath(n), "safe", "desk", 3, ""))
	}
	for n := 0; big && n < bigRoutes; n++ {
		l = append(l, fmt.Sprintf(route, fmt.Sprint("f", n), fmt.Sprintf("/f%d/", n), "safe", "desk", 1, ""))
	}
	return fmt.Appendf(nil, configText, version, strings.Join(l, ","), chunks, chunkBytes, origin)
}

func configPath(version int) string {
	return fmt.Sprintf("/c%d/", version)
}
