// Package snapshot stores the newest snapshot of the state machine in one
// file: magic, CRC32C, CBOR. It replaces the file atomically, and splits a
// snapshot into chunks to send it to a member that is too far behind for the
// log.
package snapshot
