package main

// examples maps the path of a command to an example of its use. It covers the
// commands that have no Description of their own.
var examples = map[string]string{
	"plan":               "plan fleet.jsonc",
	"capacity":           "capacity --vms -o json",
	"wave start":         "wave start kernel",
	"wave pause":         "wave pause kernel",
	"wave resume":        "wave resume kernel",
	"wave abort":         "wave abort kernel",
	"wave status":        "wave status kernel",
	"wave watch":         "wave watch kernel",
	"move":               "move photo-a1-1 office",
	"job submit":         "job submit jobs.jsonc",
	"job list":           "job list -o json",
	"job show":           "job show sort-17",
	"job cancel":         "job cancel --team surveyors",
	"entry remove":       `entry remove --attest "powered off by Anna, ticket 812" entry-a1`,
	"member add":         "member add --id control-d --link 10.0.4.5:7001 --admin 10.0.4.5:7101",
	"member remove":      "member remove control-a",
	"member list":        "member list",
	"keys init":          "keys init --ca-dir ca",
	"keys issue":         "keys issue --ca-dir ca entry-a1 keys/entry-a1",
	"keys token":         "keys token --ca-dir ca operator anna anna.token",
	"keys trust":         "keys trust --ca-dir ca keys/entry-a1 keys/entry-a2",
	"keys rotate begin":  "keys rotate begin --ca-dir ca",
	"keys rotate switch": "keys rotate switch --ca-dir ca",
	"keys rotate finish": "keys rotate finish --ca-dir ca",
}
