// Package entry implements the entry process: it follows the view that the
// control processes (control, for short) publish, accepts the announcements of
// its zone's targets and serves callers.
package entry
