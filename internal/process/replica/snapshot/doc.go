// Package snapshot keeps the newest snapshot of the state machine in one
// file: magic, CRC32C, CBOR. It replaces the file as a whole, and cuts it
// into chunks for a member that is too far behind for the log.
package snapshot
