// Package ingress protects the HTTP servers of a process from clients that
// exceed the limits. A Gate, which all servers of the process share, bounds the
// open connections, the bytes of a head and of a body, the time that each may
// take, and the memory of all heads and bodies together. When a bound of the
// whole process is reached, the connection that has made the least progress
// gives way, never one whose request is being served.
package ingress
