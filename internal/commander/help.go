package commander

import "github.com/jessevdk/go-flags"

const longDescription = `coltsfootscale serves language models from a limited fleet.

Commands that run an instance, change the configuration or send requests: serve, entry, publish, key grant, key withdraw, ask, call, load.
Queries: status, inventory, usage, explain, trace, addresses, check, version, hash.

Exit codes: 0 done, 1 refused, 2 usage error, 3 unreachable.`

var commandHelp = map[string]string{
	"serve":     "Runs an entry instance until SIGTERM or an interrupt, then waits for running requests, for at most StopMilliseconds of its settings, and exits.\n\nExample: coltsfootscale serve --Settings entry-a.ini",
	"entry":     "Runs an entry instance on the users' machines until SIGTERM or an interrupt, then waits for running requests and exits within GraceSeconds of its settings.\n\nExample: coltsfootscale entry --Settings entry.ini --DryRun",
	"publish":   "Puts an inventory and rules in force everywhere. Without --Base it replaces the version in force.\n\nExample: coltsfootscale publish --Entry http://127.0.0.1:8101 --OperatorKeyFile operator.key --Inventory inventory.ini --Rules rules.ini",
	"key":       "Grants and withdraws keys.\n\nExample: coltsfootscale key grant --help",
	"status":    "Shows the state of an entry instance, and the members, the lease and the orders as it sees them.\n\nExample: coltsfootscale status --Entry http://127.0.0.1:8101 --OperatorKeyFile operator.key",
	"inventory": "Shows the targets, teams and key ids in force; with --Json also the availability zones and rules.\n\nExample: coltsfootscale inventory --Entry http://127.0.0.1:8101 --OperatorKeyFile operator.key --Json",
	"usage":     "Shows the open usage window and the closed ones that are not yet reported.\n\nExample: coltsfootscale usage --Entry http://127.0.0.1:8101 --OperatorKeyFile operator.key",
	"explain":   "Shows the routing decisions that the entry instances keep for a request.\n\nExample: coltsfootscale explain --Entry http://127.0.0.1:8101 --OperatorKeyFile operator.key 0b9d7c1e-5c1b-4f0e-9f54-0a8a4c7c2d11",
	"trace":     "Shows the path of a request from the logs of instances that the entry command runs: how it ended and why, the decisions, and what the instance knew of the targets, the configuration, the store and its peers.\n\nExample: coltsfootscale trace --Logs front-a-1.log --Logs front-a-2.log 62f983e0882fc5d0",
	"version":   "Prints the version, the commit and the Go version.\n\nExample: coltsfootscale version",
	"addresses": "Shows the ranked entry addresses for an availability zone.\n\nExample: coltsfootscale addresses --Entry http://127.0.0.1:8101 --AvailabilityZone seoul-a",
	"check":     "Reports all faults of the given files in one run.\n\nExample: coltsfootscale check --Settings entry-a.ini --EntrySettings entry.ini --Inventory inventory.ini --Rules rules.ini",
	"hash":      "Prints the hash of the key in a file.\n\nExample: coltsfootscale hash --KeyFile operator.key",
	"ask":       "Gets the entry addresses, sends the prompt to the best reachable one and streams the answer.\n\nExample: coltsfootscale ask --Entry http://127.0.0.1:8101 --KeyFile team.key --Model menu-7b \"Explain the tab.\"",
	"call":      "Sends one call to a plain service. With --IdempotencyKey, calls with the same key run at most once.\n\nExample: coltsfootscale call --Entry http://127.0.0.1:8101 --KeyFile team.key --Path /settlements --IdempotencyKey tab-7 '{\"Tab\":7}'",
	"load":      "Sends at most --Requests requests, stops after --Timeout, and prints a table of latencies and refusals.\n\nExample: coltsfootscale load --Entry http://127.0.0.1:8101 --KeyFile team.key --Model menu-7b --Requests 100 --Concurrency 10",
}

// setHelp sets the long description of each command.
func setHelp(parser *flags.Parser) {
	for _, c := range parser.Commands() {
		c.LongDescription = commandHelp[c.Name]
		for _, sub := range c.Commands() {
			sub.LongDescription = subcommandHelp[sub.Name]
		}
	}
}

var subcommandHelp = map[string]string{
	"grant":    "Creates a key, puts its hash in force everywhere and writes the key to standard output.\n\nExample: coltsfootscale key grant --Entry http://127.0.0.1:8101 --OperatorKeyFile operator.key --Team tabline --ID tabline-1",
	"withdraw": "Withdraws a key. After exit code 0 no entry instance accepts the key.\n\nExample: coltsfootscale key withdraw --Entry http://127.0.0.1:8101 --OperatorKeyFile operator.key --ID tabline-1",
}
