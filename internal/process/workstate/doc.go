// Package workstate is the replicated state of a deployment on a hosted
// platform: its catalog, jobs, workers, waves and moves. A Machine applies
// commands in log order, the same way in every control process; one kind of
// command is one function.
package workstate
