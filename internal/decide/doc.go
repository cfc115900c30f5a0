// Package decide plays gateways, engines and callers in virtual time, so that two ways to decide can be held against each other
// on the same arrivals within seconds. What a gateway decides, it decides by the code of a real one (gateway.Balancer, placement,
// swapplan); engines, links, reports, callers and the arrival of versions are models. A gain that shows here alone is none.
package decide
