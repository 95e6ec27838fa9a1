// Package jobmemory decides whether the control processes have the memory for one more job.
// Each of them keeps all jobs, so that jobs of legal size, accepted without regard to it,
// would end all of them together. It does no I/O.
package jobmemory
