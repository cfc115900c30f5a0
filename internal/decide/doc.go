// Package decide simulates gateways, engines and callers in virtual time, to compare variants of the gateways' decisions
// on the same arrivals within seconds. Simulated gateways decide with the code of real ones (gateway.Balancer,
// placement, swapplan); engines, links, reports, callers and the arrival of versions are models. An improvement that
// shows only here is not evidence by itself.
package decide
