// Command rig3 runs one case of the third independent review: it starts the
// project's own programs as separate processes on loopback addresses, with
// stand-ins for clients, workers and the platform, and writes what was sent,
// answered and run to a record.
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2
// if the case could not run.
package main
