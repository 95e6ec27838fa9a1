package driver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/datadir"
)

// Link calls for bootstrapping a deployment and joining one.
const (
	// BootstrapKind asks an initial member to confirm the caller's disk.
	BootstrapKind link.Kind = "replica.found"
	// IdentifyKind asks a process for its ID and disk.
	IdentifyKind link.Kind = "replica.identify"
)

// codeReplacedDisk is the fault code for a known ID with another disk.
const codeReplacedDisk = "replaced_disk"

// BootstrapRequest carries the calling process's ID and disk and its list of
// initial members.
type BootstrapRequest struct {
	Identity
	Members []string `cbor:"3,keyasint"`
}

// IdentifyRequest asks for an Identity.
type IdentifyRequest struct{}

// Identity is the ID and the disk of a process.
type Identity struct {
	ID   string `cbor:"1,keyasint"`
	Disk string `cbor:"2,keyasint"`
	// Joining is set if the process was started with an empty data directory
	// to join a deployment, or may join again with its disk.
	Joining bool `cbor:"4,keyasint,omitempty"`
}

// registrar keeps the disks of the initial members. Every initial member must
// have recorded the disk of a process before that process votes. A process
// that lost its disk therefore meets at least one member that knows the old
// disk, and is rejected. If only a majority had to record it, the process might
// meet only members that do not know it.
type registrar struct {
	dir               string
	join, allowRejoin bool
	// empty is set if the data directory held no state at the start.
	empty bool
	// initialMembers are the sorted IDs of the initial members in the
	// settings.
	initialMembers []string

	mu       sync.Mutex
	identity *datadir.Identity
}

func newRegistrar(o *Options, storage *storage) *registrar {
	r := &registrar{dir: o.Dir, join: o.Join, allowRejoin: o.AllowRejoin, empty: storage.snapshot == nil, identity: storage.identity}
	for _, m := range o.InitialMembers {
		r.initialMembers = append(r.initialMembers, m.ID)
	}
	slices.Sort(r.initialMembers)
	return r
}

func (r *registrar) register(node *link.Node) {
	link.Handle(node, BootstrapKind, r.handleBootstrap)
	link.Handle(node, IdentifyKind, func(context.Context, link.Peer, IdentifyRequest) (Identity, error) {
		return r.self(), nil
	})
}

func (r *registrar) self() Identity {
	return Identity{ID: r.identity.ID, Disk: r.identity.Disk, Joining: r.allowRejoin || (r.join && r.empty)}
}

// handleBootstrap records the caller's disk and answers with the identity of
// this process.
func (r *registrar) handleBootstrap(_ context.Context, peer link.Peer, request BootstrapRequest) (Identity, error) {
	if peer.ID != request.ID {
		return Identity{}, logging.Wrap(ErrSenderMismatch, "confirm bootstrap", peer.ID)
	}
	err := r.record(request.Identity, request.Members)
	if errors.Is(err, ErrReplacedDisk) {
		return Identity{}, &link.Fault{Code: codeReplacedDisk, Message: err.Error()}
	}
	return r.self(), logging.Wrap(err, "confirm bootstrap", peer.ID)
}

// record saves the disk of an initial member durably, or returns an error if it
// must not be recorded.
func (r *registrar) record(process Identity, members []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.identity.InitialDisks[process.ID]; ok {
		if known != process.Disk {
			return ErrReplacedDisk
		}
		return nil
	}
	if r.join || !slices.Contains(r.initialMembers, process.ID) {
		return ErrNotInitialMember
	}
	if !slices.Equal(members, r.initialMembers) {
		return fmt.Errorf("%w: %v and %v", ErrMembersMismatch, members, r.initialMembers)
	}
	if r.identity.InitialDisks == nil {
		r.identity.InitialDisks = map[string]string{}
	}
	r.identity.InitialDisks[process.ID] = process.Disk
	// This must be synced before an answer to the process, which votes once all
	// initial members have answered.
	return r.identity.Save(r.dir)
}

// recordedDisk returns the recorded disk of an initial member.
func (r *registrar) recordedDisk(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.identity.InitialDisks[id]
}

// bootstrap returns the initial members with their disks once all of them
// have confirmed this process. It retries until then.
func (d *Driver) bootstrap(ctx context.Context) ([]replica.Member, error) {
	if !slices.Contains(d.registrar.initialMembers, d.options.Self.ID) {
		return nil, logging.Wrap(ErrNotInitialMember, "bootstrap", d.options.Self.ID)
	}
	if err := d.registrar.record(d.registrar.self(), d.registrar.initialMembers); err != nil {
		return nil, err
	}
	members := slices.Clone(d.options.InitialMembers)
	for i := range members {
		if err := d.awaitConfirmation(ctx, members[i]); err != nil {
			return nil, err
		}
		members[i].Disk = d.registrar.recordedDisk(members[i].ID)
	}
	return members, nil
}

// awaitConfirmation retries until an initial member confirms this process's
// disk.
func (d *Driver) awaitConfirmation(ctx context.Context, member replica.Member) error {
	for member.ID != d.options.Self.ID {
		err := d.requestConfirmation(ctx, member)
		if err == nil {
			return nil
		}
		var fault *link.Fault
		if errors.As(err, &fault) && fault.Code == codeReplacedDisk {
			return logging.Wrap(ErrReplacedDisk, "bootstrap", member.ID)
		}
		d.options.Log.Warn("bootstrap not confirmed by initial member", logging.Err(err))
		select {
		case <-time.After(bootstrapRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (d *Driver) requestConfirmation(ctx context.Context, member replica.Member) error {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	request := BootstrapRequest{Identity: d.registrar.self(), Members: d.registrar.initialMembers}
	answer, err := link.Call[BootstrapRequest, Identity](ctx, d.options.Node, member.Link, BootstrapKind, request)
	if err != nil {
		return err
	}
	if answer.ID != member.ID {
		return logging.Wrap(fmt.Errorf("%w: %q", ErrProcessMismatch, answer.ID), "bootstrap", member.ID)
	}
	return logging.Wrap(d.registrar.record(answer, d.registrar.initialMembers), "record disk", member.ID)
}

// identify asks a process that is to be added for its disk.
func (d *Driver) identify(ctx context.Context, member replica.Member) (string, error) {
	answer, err := link.Call[IdentifyRequest, Identity](ctx, d.options.Node, member.Link, IdentifyKind, IdentifyRequest{})
	if err != nil {
		return "", err
	}
	if answer.ID != member.ID {
		return "", logging.Wrap(fmt.Errorf("%w: %q", ErrProcessMismatch, answer.ID), "identify", member.ID)
	}
	if !answer.Joining {
		return "", logging.Wrap(ErrNotJoining, "identify", member.ID)
	}
	return answer.Disk, nil
}
