package state

import (
	"reflect"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// DocumentSubmission is the body of a SubmitDocument command.
type DocumentSubmission struct {
	// Base is the version that the document was made from; 0 for the first.
	Base uint64 `cbor:"1,keyasint"`
	// Text is the document. It was validated before the proposal and is
	// validated again when applied.
	Text []byte `cbor:"2,keyasint"`
	By   string `cbor:"3,keyasint"`
}

// DocumentSubmissionAnswer is the result of a SubmitDocument command. With Conflict it
// names the winner.
type DocumentSubmissionAnswer struct {
	Submission Submission `cbor:"1,keyasint" json:"submission"`
	// Repeated says that the same content was accepted before.
	Repeated bool `cbor:"2,keyasint" json:"repeated"`
}

// applySubmit accepts a document if its base is the newest version. The
// same content on the same base gets the first answer again; other content
// is a conflict.
func applySubmit(m *Machine, c position, submit DocumentSubmission) Result {
	document, err := m.parseSubmitted(submit.Text)
	if err != nil {
		return refuse(Refused, "%v", err)
	}
	f := &m.data.Fleet
	digest := document.Digest()
	for _, earlier := range f.Submissions {
		if earlier.Base == submit.Base && earlier.Digest == digest {
			return okResult(DocumentSubmissionAnswer{Submission: earlier, Repeated: true})
		}
	}
	if submit.Base != f.Version {
		return f.conflict(submit.Base)
	}
	if refusal, refused := f.checkTransition(document); refused {
		return refusal
	}
	f.accept(c, submit, document, digest)
	return okResult(DocumentSubmissionAnswer{Submission: f.Submissions[len(f.Submissions)-1]})
}

// conflict names the submission that won against a base.
func (f *Fleet) conflict(base uint64) Result {
	for _, winner := range f.Submissions {
		if winner.Base == base {
			result := refuse(Conflict, "version %d by %s was accepted on base %d", winner.Version, winner.By, base)
			return withBody(result, DocumentSubmissionAnswer{Submission: winner})
		}
	}
	return refuse(Conflict, "the newest version is %d, not %d", f.Version, base)
}

// checkTransition refuses what no later step could carry out.
func (f *Fleet) checkTransition(document *fleet.Document) (Result, bool) {
	for _, vm := range document.VMs {
		owned, known := f.VMs[vm.Name]
		if known && (owned.Zone != vm.Zone || owned.Rack != vm.Rack) {
			return refuse(Refused, "VM %q stands in zone %s, rack %s; a VM can't change its place, declare it under a new name", vm.Name, owned.Zone, owned.Rack), true
		}
	}
	return Result{}, false
}

func (f *Fleet) accept(c position, submit DocumentSubmission, document *fleet.Document, digest string) {
	f.Version++
	f.Revision = c.index
	f.VersionRevision = c.index
	f.Text = submit.Text
	f.setDocument(document)
	f.Digest = digest
	entry := Submission{Version: f.Version, Base: submit.Base, Digest: digest, By: submit.By, AtMS: c.atMS}
	f.Submissions = append(append([]Submission{}, f.Submissions...), entry)
	if surplus := len(f.Submissions) - maxSubmissions; surplus > 0 {
		f.Submissions = f.Submissions[surplus:]
	}
	f.adoptServices(c)
	f.adoptVMs(c)
}

func (f *Fleet) adoptServices(c position) {
	declared := map[string]bool{}
	for _, service := range f.Document.Services {
		declared[service.Name] = true
		if placed, known := f.Services[service.Name]; known && reflect.DeepEqual(placed.Service, service) {
			continue
		}
		f.Services[service.Name] = VersionedService{Service: service, Changed: c.index}
	}
	for name := range f.Services {
		if !declared[name] {
			delete(f.Services, name)
			f.bury(c.index, ItemService, name)
		}
	}
}

// adoptVMs adds new VMs and updates sizes. A change of pool or a removal
// is not done here: it needs a drain first, and the planners see to it.
func (f *Fleet) adoptVMs(c position) {
	for _, vm := range f.Document.VMs {
		owned, known := f.VMs[vm.Name]
		if !known {
			// No earlier VM of the name can have had an epoch above the index.
			owned = OwnedVM{VM: view.VM{Name: vm.Name, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, Epoch: c.index, Phase: view.Serving}, SinceMS: c.atMS}
		}
		if known && owned.Slots == vm.Slots && owned.Connections == vm.Connections {
			continue
		}
		owned.Slots = vm.Slots
		owned.Connections = vm.Connections
		f.setVM(c.index, owned)
	}
}
