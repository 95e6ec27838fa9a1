// Package control is the control process: it drives the replicated state,
// answers entries over the link and operators over HTTPS, and keeps what
// entries report in memory.
package control
