// Package workload describes jobs: steps of tasks with their needs. A Spec
// is what a client submitted and never changes; progress is kept elsewhere.
package workload
