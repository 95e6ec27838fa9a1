// Package link carries typed calls between the processes of the system
// over QUIC with mutual TLS. Each call is one stream that holds a request
// and a response in CBOR.
//
// A connection that has gone silent is found by its keep-alive within
// IdleTimeout; the next call dials anew.
package link
