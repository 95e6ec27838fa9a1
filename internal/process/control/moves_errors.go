package control

import (
	"errors"
	"fmt"

	"arbutusward.example/arbutusward/internal/connection/platform"
)

// errNoPlatform is returned when the settings name no platform.
var errNoPlatform = errors.New("the settings name no platform")

// notPoweredOffError is returned when the platform has not powered off a VM
// yet.
type notPoweredOffError struct {
	vm    string
	state platform.State
}

// Error returns a message with the VM and its state.
func (e *notPoweredOffError) Error() string {
	return fmt.Sprintf("VM %s is %s on the platform, not off; repeat the request", e.vm, e.state)
}
