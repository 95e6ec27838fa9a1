// Package request serves the requests of callers: it routes, admits and
// dispatches them to targets and returns the answers. The routing Table is
// immutable and is replaced as a whole when the view or the targets change.
package request
