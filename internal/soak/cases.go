package soak

// Case is a run that has found something, kept to be run again.
type Case struct {
	Settings
	// Cause is what it has found.
	Cause string
}

// cases are run by --cases. The seed draws what is done when and not how processes take it: a case shows its fault often, not
// always.
var cases = []Case{
	{
		Settings: Settings{
			Seed: 111, Seconds: 45, Gateways: 8, Stagers: 4, Domains: 2, EngineShare: 0.15,
			Faults: []string{doCutOne, doKill, doGone, doRestart},
		},
		Cause: "a record that is missing from what a reader reads anew had its old offset, and followers took its end for known",
	},
	{
		Settings: Settings{
			Seed: 403, Seconds: 50, Gateways: 6, Stagers: 4, Domains: 2, EngineShare: 0.15,
			Faults: []string{doTerm, doPause, doVersion, doConfig, doLeave},
		},
		Cause: "only the last 16 versions named are remembered: of more within the time for a swap the oldest lose theirs",
	},
	{
		Settings: Settings{
			Seed: 2, Seconds: 50, Gateways: 2, Stagers: 8, Domains: 2, EngineShare: 0.95, Faults: []string{doVersion, doRestart, doCrash},
		},
		Cause: "an engine that starts anew between the look at its chunks and the order is ordered to load what it does not have",
	},
}
