package state

import (
	"reflect"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// DocumentSubmission is the body of a SubmitDocument command.
type DocumentSubmission struct {
	// Base is the version on which the document is based; 0 for the first
	// document.
	Base uint64 `cbor:"1,keyasint"`
	// Text is the document. It is validated before the proposal and again when
	// the command is applied.
	Text []byte `cbor:"2,keyasint"`
	By   string `cbor:"3,keyasint"`
}

// DocumentSubmissionAnswer is the result body of a SubmitDocument command. If
// the code is Conflict, Submission is the accepted submission with the same
// base.
type DocumentSubmissionAnswer struct {
	Submission Submission `cbor:"1,keyasint" json:"submission"`
	// Repeated is true if the same content has already been accepted on the
	// same base.
	Repeated bool `cbor:"2,keyasint" json:"repeated"`
}

// applySubmitDocument accepts a document if its base is the newest version. A
// repeated submission with the same base and content gets the first answer
// again; other content on an older base is a conflict.
func applySubmitDocument(m *Machine, pos position, submission DocumentSubmission) Result {
	document, err := m.parseSubmitted(submission.Text)
	if err != nil {
		return refuse(Refused, "%v", err)
	}
	f := &m.data.Fleet
	digest := document.Digest()
	for _, earlier := range f.Submissions {
		if earlier.Base == submission.Base && earlier.Digest == digest {
			return okResult(DocumentSubmissionAnswer{Submission: earlier, Repeated: true})
		}
	}
	if submission.Base != f.Version {
		return f.conflict(submission.Base)
	}
	if refusal, refused := f.checkTransition(document); refused {
		return refusal
	}
	f.accept(pos, submission, document, digest)
	return okResult(DocumentSubmissionAnswer{Submission: f.Submissions[len(f.Submissions)-1]})
}

// conflict returns a Conflict result that names the submission accepted on the
// same base.
func (f *Fleet) conflict(base uint64) Result {
	for _, winner := range f.Submissions {
		if winner.Base == base {
			result := refuse(Conflict, "version %d by %s was accepted on base %d", winner.Version, winner.By, base)
			return withBody(result, DocumentSubmissionAnswer{Submission: winner})
		}
	}
	return refuse(Conflict, "the newest version is %d, not %d", f.Version, base)
}

// checkTransition refuses a document with changes that no later step could
// make.
func (f *Fleet) checkTransition(document *fleet.Document) (Result, bool) {
	for _, vm := range document.VMs {
		owned, known := f.VMs[vm.Name]
		if known && (owned.Zone != vm.Zone || owned.Rack != vm.Rack) {
			return refuse(Refused, "VM %q stands in zone %s, rack %s; a VM can't change its place, declare it under a new name", vm.Name, owned.Zone, owned.Rack), true
		}
	}
	return Result{}, false
}

func (f *Fleet) accept(pos position, submission DocumentSubmission, document *fleet.Document, digest string) {
	f.Version++
	f.Revision = pos.index
	f.VersionRevision = pos.index
	f.Text = submission.Text
	f.setDocument(document)
	f.Digest = digest
	entry := Submission{Version: f.Version, Base: submission.Base, Digest: digest, By: submission.By, AtMS: pos.atMS}
	f.Submissions = append(append([]Submission{}, f.Submissions...), entry)
	if excess := len(f.Submissions) - maxSubmissions; excess > 0 {
		f.Submissions = f.Submissions[excess:]
	}
	f.updateServices(pos)
	f.updateVMs(pos)
}

func (f *Fleet) updateServices(pos position) {
	declared := map[string]bool{}
	for _, service := range f.Document.Services {
		declared[service.Name] = true
		if placed, known := f.Services[service.Name]; known && reflect.DeepEqual(placed.Service, service) {
			continue
		}
		f.Services[service.Name] = VersionedService{Service: service, Changed: pos.index}
	}
	for name := range f.Services {
		if !declared[name] {
			delete(f.Services, name)
			f.addTombstone(pos.index, ItemService, name)
		}
	}
}

// updateVMs adds new VMs and updates the sizes of existing ones. It does not
// change pools or remove VMs: these changes require a drain first and are
// proposed by the planners.
func (f *Fleet) updateVMs(pos position) {
	for _, vm := range f.Document.VMs {
		owned, known := f.VMs[vm.Name]
		if !known {
			// An epoch increases by one per command that changes the VM, so no
			// earlier VM of this name can have had an epoch above the log
			// index.
			owned = OwnedVM{VM: view.VM{Name: vm.Name, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, Epoch: pos.index, Phase: view.Serving}, SinceMS: pos.atMS}
		}
		if known && owned.Slots == vm.Slots && owned.Connections == vm.Connections {
			continue
		}
		owned.Slots = vm.Slots
		owned.Connections = vm.Connections
		f.setVM(pos.index, owned)
	}
}
