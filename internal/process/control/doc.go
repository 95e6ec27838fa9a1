// Package control implements the control process. It drives the replicated
// state, serves entries over the link and operators over HTTPS, and keeps
// the reports of entries in memory.
package control
