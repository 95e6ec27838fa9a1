// Package link carries typed calls between the processes of the system over
// QUIC with mutual TLS. Each call is one stream with a request and a response
// in CBOR.
//
// Keep-alive packets detect an unresponsive connection within IdleTimeout. The
// next call then dials a new one.
package link
