package control

import (
	"errors"
	"fmt"

	"arbutusward.example/arbutusward/internal/connection/platform"
)

// errNoPlatform says that the settings name no platform.
var errNoPlatform = errors.New("the settings name no platform")

// stillOnError says that a VM was to be powered off and is not yet.
type stillOnError struct {
	vm    string
	state platform.State
}

// Error names the VM and its state.
func (e *stillOnError) Error() string {
	return fmt.Sprintf("VM %s is %s on the platform, not off; ask again", e.vm, e.state)
}
