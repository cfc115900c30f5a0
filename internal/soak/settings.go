package soak

import (
	"fmt"
	"strings"
	"time"
)

// Settings are the parameters of one run.
type Settings struct {
	Seed     uint64
	Seconds  int
	Gateways int
	Stagers  int
	Domains  int
	// EngineShare is the share of departures that are of engines and not of plain upstreams.
	EngineShare float64
	// Faults names the faults and operations that may be drawn; empty allows all.
	Faults []string
	BinDir string
	// LogDir is the folder for the processes' logs.
	LogDir string
}

const (
	// swapTime is the time after its publication from which a version must be the only one in use; it is short so that a
	// run has several.
	swapTime = 8 * time.Second
	// drainTime is the time for a planned stop.
	drainTime = 8 * time.Second
	// routeTimeout is the timeout of a route, and longRouteTimeout that of the routes for long requests.
	routeTimeout, longRouteTimeout = 6 * time.Second, 12 * time.Second
	// plainUpstreams is the number of plain upstreams. They are cheap, as they need no process, and suffice for two
	// departures a second.
	plainUpstreams = 40
	// plainPool and enginePool are the pools of the plain upstreams and of the model engines.
	plainPool, enginePool = "desk", "engines"
	// chunks and chunkBytes are the size of a version's weights, small because the transfer is not under test.
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
	// commonSettings begins the settings of each program; the arguments are name, domain, drain time, store address, IP
	// address, swap time and network.
	commonSettings = `[process]
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
seeds = ["%[7]s.1.1:7700", "%[7]s.2.1:7700", "%[7]s.2.2:7700"]
`
	// gatewaySettings switch reservations on where a failure domain has two gateways, and let datagrams pass the relay.
	gatewaySettings = commonSettings + `[gateway]
listen = "%[5]s:8005"
swap_within = "%[6]s"
reservation_min_gateways = 2
[subscriber]
listen = "%[5]s:7701"
port = 7700
[readiness]
listen = "%[5]s:8002"
`
	stagerSettings = commonSettings + `start_wait = "600ms"
[stager]
pool = "engines"
peer_port = 7700
swap_within = "%[6]s"
memory_bytes = 1048576
[upstream]
address = "%[5]s:8001"
[reporter]
listen = "%[5]s:7701"
port = 7700
`
	routeFormat  = `{"name":%q,"host":"h.example","pathPrefix":%q,"kind":%q,"timeoutMs":%d,"targetLatencyMs":2000,"service":%q,"maxAttempts":%d%s}`
	configFormat = `{"version":%d,"routes":[%s],"services":[{"name":"engines","engine":{"slots":16,"stride":5,"step_ms":9,
"read_per_s":20000,"chunk":2048,"layers":1,"chunks":%d,"chunk_bytes":%d,"usual":{"prompt":100,"answer":60},
"models":[{"name":"m","warmS":0.1}]}},{"name":"desk"},{"name":"origin","origin":%q}],
"tenants":[{"name":"gym","apiKeys":[%q]},{"name":"lab","apiKeys":[%q],"priority":%d}%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":524288}}`
	// chatPath and bulkPath are the prefixes of the routes to engines, deskPath and lookPath of those to plain upstreams.
	chatPath, bulkPath = "/chat/", "/bulk/"
	deskPath, lookPath = "/desk/", "/look/"
	streamOptions      = `,"streamResume":true,"gap_aim_ms":400`
	// longChatPath, longDeskPath and longLookPath are the prefixes of the routes whose timeout exceeds the time for a stop.
	longChatPath, longDeskPath, longLookPath = "/long-chat/", "/long-desk/", "/long-look/"
	longStreamOptions                        = `,"streamResume":true,"gap_aim_ms":2000`
	// bigRoutes makes a configuration of about 400 KB.
	bigRoutes = 2500
	// keptRoutes is the number of newer configurations that still contain a configuration's route.
	keptRoutes = 4
)

// configOf returns a configuration. Each contains a new route, by which callers detect that it is in force.
func configOf(version int, big bool, origin string) []byte {
	route := func(name, path, kind, service string, attempts int, options string) string {
		return fmt.Sprintf(routeFormat, name, path, kind, routeTimeout.Milliseconds(), service, attempts, options)
	}
	longRoute := func(name, path, kind, service string, attempts int, options string) string {
		return fmt.Sprintf(routeFormat, name, path, kind, longRouteTimeout.Milliseconds(), service, attempts, options)
	}
	l := []string{
		route("chat", chatPath, "streaming", "engines", maxAttempts, streamOptions),
		route("bulk", bulkPath, "streaming", "engines", maxAttempts, streamOptions+fmt.Sprintf(`,"priority":%d`, bulkPriority)),
		route("desk", deskPath, "unsafe", "desk", 1, ""),
		route("look", lookPath, "safe", "desk", maxAttempts, ""),
		longRoute("long-chat", longChatPath, "streaming", "engines", maxAttempts, longStreamOptions),
		longRoute("long-desk", longDeskPath, "unsafe", "desk", 1, ""),
		longRoute("long-look", longLookPath, "safe", "desk", maxAttempts, ""),
	}
	for n := max(1, version-keptRoutes); n <= version; n++ {
		l = append(l, route(fmt.Sprint("own", n), configPath(n), "safe", "desk", maxAttempts, ""))
	}
	for n := 0; big && n < bigRoutes; n++ {
		l = append(l, route(fmt.Sprint("f", n), fmt.Sprintf("/f%d/", n), "safe", "desk", 1, ""))
	}
	return fmt.Appendf(nil, configFormat, version, strings.Join(l, ","), chunks, chunkBytes, origin, gymKey, labKey, labPriority, clubOrganisations(version))
}

func configPath(version int) string {
	return fmt.Sprintf("/c%d/", version)
}
