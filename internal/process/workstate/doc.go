// Package workstate holds the replicated state of a deployment on a hosted
// platform: its catalog, jobs, workers and maintenance waves. A Machine applies
// the commands of the replicated log in order, with the same result in every
// control process. Each kind of command is applied by one function.
package workstate
