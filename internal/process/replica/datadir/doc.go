// Package datadir holds what all durable files of a replica share: the lock
// of the data directory, the identity of the disk, and the replacement of a
// file so that it survives a crash at any moment.
package datadir
