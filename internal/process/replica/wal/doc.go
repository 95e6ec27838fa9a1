// Package wal stores the write-ahead log of a replica in one file.
//
// The file is a sequence of frames. A frame holds the data of one sync:
// length, CRC32C and CBOR. Entries beyond the limits of a frame go into further
// ones, so that what is written can be read. A frame is written only after the
// previous one was synced. A damaged frame at the end of the file is therefore the torn
// tail of a write that was never acknowledged, and is truncated. A damaged
// frame that is followed by a complete one had been synced, and so had a
// complete one that can't be decoded; Open then returns an error. A rewritten
// log replaces the file only once all its frames are synced.
package wal
