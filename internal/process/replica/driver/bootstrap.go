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

// Calls of founding and joining.
const (
	// BootstrapKind asks a first member to confirm another one's disk.
	BootstrapKind link.Kind = "replica.found"
	// IdentifyKind asks a process for its id and disk.
	IdentifyKind link.Kind = "replica.identify"
)

// codeReplacedDisk is the fault that answers a known id with another disk.
const codeReplacedDisk = "replaced_disk"

// BootstrapRequest names the asking process, its disk and the first members.
type BootstrapRequest struct {
	Identity
	Members []string `cbor:"3,keyasint"`
}

// IdentifyRequest asks for an Identity.
type IdentifyRequest struct{}

// Identity is the id and the disk of a process.
type Identity struct {
	ID   string `cbor:"1,keyasint"`
	Disk string `cbor:"2,keyasint"`
	// Joining says that the process was started with an empty folder to
	// join a deployment, or may return to it with its disk.
	Joining bool `cbor:"4,keyasint,omitempty"`
}

// registrar keeps the disks of the first members. Every first member must
// have recorded a process's disk before that process votes. So a process
// that lost its disk finds at least one member that knows the old one, and
// is refused, where a majority alone might not know.
type registrar struct {
	dir           string
	join, returns bool
	// empty says that the folder held no state at the start.
	empty bool
	// founders are the ids of the first members by the settings, sorted.
	founders []string

	mu       sync.Mutex
	identity *datadir.Identity
}

func newRegistrar(o *Options, storage *storage) *registrar {
	r := &registrar{dir: o.Dir, join: o.Join, returns: o.AllowRejoin, empty: storage.snapshot == nil, identity: storage.identity}
	for _, m := range o.InitialMembers {
		r.founders = append(r.founders, m.ID)
	}
	slices.Sort(r.founders)
	return r
}

func (r *registrar) register(node *link.Node) {
	link.Handle(node, BootstrapKind, r.serveFound)
	link.Handle(node, IdentifyKind, func(context.Context, link.Peer, IdentifyRequest) (Identity, error) {
		return r.self(), nil
	})
}

func (r *registrar) self() Identity {
	return Identity{ID: r.identity.ID, Disk: r.identity.Disk, Joining: r.returns || (r.join && r.empty)}
}

// serveFound records the asker's disk and answers with the own.
func (r *registrar) serveFound(_ context.Context, peer link.Peer, request BootstrapRequest) (Identity, error) {
	if peer.ID != request.ID {
		return Identity{}, logging.Wrap(ErrNotMember, "confirm founding", peer.ID)
	}
	err := r.record(request.Identity, request.Members)
	if errors.Is(err, ErrDiskReplaced) {
		return Identity{}, &link.Fault{Code: codeReplacedDisk, Message: err.Error()}
	}
	return r.self(), logging.Wrap(err, "confirm founding", peer.ID)
}

// record notes a disk durably, or refuses it.
func (r *registrar) record(asker Identity, members []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.identity.InitialDisks[asker.ID]; ok {
		if known != asker.Disk {
			return ErrDiskReplaced
		}
		return nil
	}
	if r.join || !slices.Contains(r.founders, asker.ID) {
		return ErrNotInitialMember
	}
	if !slices.Equal(members, r.founders) {
		return fmt.Errorf("%w: %v and %v", ErrMembersMismatch, members, r.founders)
	}
	if r.identity.InitialDisks == nil {
		r.identity.InitialDisks = map[string]string{}
	}
	r.identity.InitialDisks[asker.ID] = asker.Disk
	// Synced before the answer: the asker votes once all have answered.
	return r.identity.Save(r.dir)
}

// disk returns the recorded disk of a first member.
func (r *registrar) disk(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.identity.InitialDisks[id]
}

// found returns the first members with their disks once all of them have
// confirmed this process. It repeats until then.
func (d *Driver) found(ctx context.Context) ([]replica.Member, error) {
	if !slices.Contains(d.registrar.founders, d.options.Self.ID) {
		return nil, logging.Wrap(ErrNotInitialMember, "found", d.options.Self.ID)
	}
	if err := d.registrar.record(d.registrar.self(), d.registrar.founders); err != nil {
		return nil, err
	}
	members := slices.Clone(d.options.InitialMembers)
	for i := range members {
		if err := d.confirmWith(ctx, members[i]); err != nil {
			return nil, err
		}
		members[i].Disk = d.registrar.disk(members[i].ID)
	}
	return members, nil
}

// confirmWith asks one first member until it confirms this process's disk.
func (d *Driver) confirmWith(ctx context.Context, member replica.Member) error {
	for member.ID != d.options.Self.ID {
		err := d.confirmOnce(ctx, member)
		if err == nil {
			return nil
		}
		var fault *link.Fault
		if errors.As(err, &fault) && fault.Code == codeReplacedDisk {
			return logging.Wrap(ErrDiskReplaced, "found", member.ID)
		}
		d.options.Log.Warn("a first member has not confirmed the founding", logging.Err(err))
		select {
		case <-time.After(foundingPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (d *Driver) confirmOnce(ctx context.Context, member replica.Member) error {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	request := BootstrapRequest{Identity: d.registrar.self(), Members: d.registrar.founders}
	answer, err := link.Call[BootstrapRequest, Identity](ctx, d.options.Node, member.Link, BootstrapKind, request)
	if err != nil {
		return err
	}
	if answer.ID != member.ID {
		return logging.Wrap(fmt.Errorf("%w: %q", ErrProcessMismatch, answer.ID), "found", member.ID)
	}
	return logging.Wrap(d.registrar.record(answer, d.registrar.founders), "record disk", member.ID)
}

// identify asks a joining process for its disk.
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
