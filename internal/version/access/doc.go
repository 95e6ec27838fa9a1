// Package access decides whether the key of a client's call allows the call, and for
// which account it is made. It knows keys by their digests only.
package access
