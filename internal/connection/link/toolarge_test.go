package link

import (
	"context"
	"errors"
	"testing"

	"arbutusward.example/arbutusward/internal/codec"
)

// TestRequestThatThePeerCannotReadIsNotSent guards against a call that no attempt gets through, since its reader refuses what its writer accepts.
func TestRequestThatThePeerCannotReadIsNotSent(t *testing.T) {
	n := &Node{}
	for _, encode := range []func(any) ([]byte, error){
		func(v any) ([]byte, error) { return n.encodeRequest("k", v) },
		func(v any) ([]byte, error) {
			n.handlers = map[Kind]Handler{"k": func(context.Context, Peer, []byte) (any, error) { return v, nil }}
			if r := n.handleRequest(t.Context(), Peer{}, request{Kind: "k"}); r.Fault != nil {
				return nil, codec.ErrTooLarge
			}
			return nil, nil
		},
	} {
		if _, err := encode(make([]bool, codec.MaxElements+1)); !errors.Is(err, codec.ErrTooLarge) {
			t.Errorf("error %v", err)
		}
	}
}
