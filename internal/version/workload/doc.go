// Package workload describes jobs, which consist of steps of equal tasks, and
// the resources that the tasks need. A Spec is a job as the client submitted it.
// It never changes; package workstate records the progress of a job.
package workload
