package main

import "fmt"

// The routes of the deployment, with the clients' paths and deadlines.
type route struct {
	name, path, kind, service string
	timeoutMs, targetMs       int
	attempts                  int
	// perSecond is the share of the site's requests.
	perSecond float64
	// deadlineMs is the client's deadline.
	deadlineMs int
	prompt     int
}

var routes = []route{
	{name: "keeper-report", path: "/keeper/", kind: "streaming", service: engineService, timeoutMs: 6000, targetMs: 500, attempts: 2, perSecond: 61.7, deadlineMs: 6000, prompt: 1290},
	{name: "booking-draft", path: "/draft/", kind: "streaming", service: engineService, timeoutMs: 6000, targetMs: 400, attempts: 2, perSecond: 46.8, deadlineMs: 6000, prompt: 787},
	{name: "terms-answer", path: "/terms/", kind: "streaming", service: engineService, timeoutMs: 6000, targetMs: 400, attempts: 2, perSecond: 43.5, deadlineMs: 6000, prompt: 607},
	{name: "bed-status", path: "/bed/", kind: "unsafe", service: plainService, timeoutMs: 800, targetMs: 300, attempts: 1, perSecond: 13, deadlineMs: 1500},
	{name: "hold-release", path: "/hold/", kind: "safe", service: plainService, timeoutMs: 800, targetMs: 300, attempts: 2, perSecond: 5.22, deadlineMs: 1500},
}

const (
	routeHost = "huts.example"
	apiKey    = "jnbanfqasnmgkcuyj8pj" //nolint:gosec // the example of the users' pages
	tenant    = "bozi300"
)

// addedPath is the path of the route that only the given version of the configuration has.
func addedPath(version int) string {
	return fmt.Sprintf("/added-%d/", version)
}

// putConfig writes the first version of the configuration to the store.
func (w *world) putConfig() {
	w.putVersion(1)
}

// putVersion writes a version of the configuration to the store; the store's acknowledgement is its return. Each version but
// the first has a route of its own beside the others.
func (w *world) putVersion(version int) {
	list := ""
	if version > 1 {
		list = fmt.Sprintf(`{"name":"added-%d","host":%q,"pathPrefix":%q,"kind":"safe","timeoutMs":800,"targetLatencyMs":300,"priority":1,"service":%q,"maxAttempts":2,"public":true},`,
			version, routeHost, addedPath(version), plainService)
	}
	for i, r := range routes {
		if i > 0 {
			list += ","
		}
		options := ""
		if r.kind == "streaming" {
			options = `,"stickySessions":true,"streamResume":true,"gap_aim_ms":400`
		}
		list += fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":%d,"targetLatencyMs":%d,"priority":1,"service":%q,"maxAttempts":%d,"public":false%s}`,
			r.name, routeHost, r.path, r.kind, r.timeoutMs, r.targetMs, r.service, r.attempts, options)
	}
	config := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/health","maxConnections":264,"protocol":"h1","tls":false,`+
		`"engine":{"slots":%d,"kvCapacityTokens":317000,"kvTokenBytes":262144,"stride":5,"models":[{"name":%q,"pace":1.0,"load_s":4.0,"warmS":0.3}],`+
		`"mb":149000.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,`+
		`"usual":{"prompt":979,"answer":92},"layers":%d,"layer_mb":4090.0,"chunks":%d,"chunk_bytes":%d}},`+
		`{"name":"weights","origin":%q,"linkMbps":7.3,"maxConnections":48},{"name":%q,"healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":%q,"apiKeys":[%q],"priority":1}]}`,
		version, list, engineService, engineSlots, modelName, layerCount, chunkCount, chunkBytes, w.originAddress(), plainService, tenant, apiKey)
	w.store.Put(operatorTopic, "config", []byte(config))
	w.record.add("configuration %d acknowledged", version)
}
