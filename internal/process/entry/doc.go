// Package entry is the entry process: it follows the control processes'
// changes, takes announcements and serves callers.
package entry
