package soak

// Case is a run that has found a fault and is kept as a regression test.
type Case struct {
	Settings
	// Cause describes the fault that the run has found.
	Cause string
}

// cases are run by --cases. A seed determines the injected faults and not the scheduling of the processes, so a case
// reproduces its fault often but not always.
var cases = []Case{
	{
		Settings: Settings{
			Seed: 111, Seconds: 45, Gateways: 8, Stagers: 4, Domains: 2, EngineShare: 0.15,
			Faults: []string{doStoreCutOne, doKill, doRemoveRecord, doRestart},
		},
		Cause: "a record that was missing when a reader read a topic again kept its old offset, so followers ignored its deletion as already known",
	},
	{
		Settings: Settings{
			Seed: 403, Seconds: 50, Gateways: 6, Stagers: 4, Domains: 2, EngineShare: 0.15,
			Faults: []string{doTerm, doPause, doVersion, doConfig, doLeave},
		},
		Cause: "only the last 16 published versions are kept: if more are published within the swap time, the oldest lose their swap deadlines",
	},
	{
		Settings: Settings{
			Seed: 2, Seconds: 50, Gateways: 2, Stagers: 8, Domains: 2, EngineShare: 0.95, Faults: []string{doVersion, doRestart, doCrash},
		},
		Cause: "an engine that restarts between the check of its staged chunks and the load order is ordered to load chunks that it does not have",
	},
	{
		Settings: Settings{
			Seed: 9228, Seconds: 45, Gateways: 6, Stagers: 4, Domains: 2, EngineShare: 0.15, Faults: []string{doStopSeries, doVersion, doConfig},
		},
		Cause: "a leaving gateway decided at the header whether to take a request: those with a slow body or answer were sent to an upstream and given up",
	},
	{
		Settings: Settings{
			Seed: 8711, Seconds: 30, Gateways: 6, Stagers: 12, Domains: 3, EngineShare: 0.15, Faults: []string{doCrasher},
		},
		Cause: "a connection that was accepted counted as proof that an upstream's process runs, so crashes were missed whose listeners closed later",
	},
	{
		Settings: Settings{
			Seed: 8731, Seconds: 40, Gateways: 6, Stagers: 3, Domains: 3, EngineShare: 0.15, Faults: []string{doAnswersLost, doHerdKill},
		},
		Cause: "a gateway that started anew had its whole share of the retries again, although its predecessor had just used it",
	},
	{
		Settings: Settings{
			Seed: 8902, Seconds: 30, Gateways: 2, Stagers: 6, Domains: 2, EngineShare: 0.15, Faults: []string{doCorruptInSwap},
		},
		Cause: "a stager that was stopped after it had verified the staged chunks ordered the load without verifying them again",
	},
	{
		Settings: Settings{
			Seed: 6203, Seconds: 35, Gateways: 6, Stagers: 12, Domains: 3, EngineShare: 0.15, Faults: []string{doHurtAfterHold},
		},
		Cause: "gateways that started during an outage of the store forwarded requests that others held, as only the store would have told them",
	},
	{
		Settings: Settings{
			Seed: 9701, Seconds: 42, Gateways: 6, Stagers: 12, Domains: 3, EngineShare: 0.15, Faults: []string{doLongHeld},
		},
		Cause: "stagers that had started after a hold remembered nothing of it, so gateways that started in the next outage forwarded such requests",
	},
	{
		Settings: Settings{
			Seed: 10001, Seconds: 35, Gateways: 6, Stagers: 12, Domains: 3, EngineShare: 0.15, Faults: []string{doManySenders},
		},
		Cause: "crashes were counted for each organisation by itself, so each further one that sent the same part of prompts cost upstreams",
	}, {
		Settings: Settings{
			Seed: 11001, Seconds: 40, Gateways: 6, Stagers: 12, Domains: 3, EngineShare: 0.15, Faults: []string{doSilentCrash},
		},
		Cause: "a crash that closes no connection was never looked for, so requests that crash upstreams in silence were sent on and on",
	}, {
		Settings: Settings{
			Seed: 12002, Seconds: 40, Gateways: 6, Stagers: 12, Domains: 3, EngineShare: 0.15, Faults: []string{doSignals},
		},
		Cause: "SIGHUP during a planned stop ended a process with its requests, and so did a log line once the log's reader had exited",
	},
}
