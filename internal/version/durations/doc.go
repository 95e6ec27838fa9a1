// Package durations predicts how long the tasks of a step take from the estimates of
// the callers, which are often off by a factor of several. It learns one model for each
// queue from the runs that have ended, and how long tasks take beside their execution. It
// does no I/O.
package durations
