package control

import (
	"net/http"
	"sort"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Status is the operator's overview of a deployment.
type Status struct {
	Replica replica.Status `json:"replica"`
	// Accepted is the newest version that a majority holds.
	Accepted uint64 `json:"accepted"`
	Digest   string `json:"digest"`
	// InForce says that every registered entry works by Accepted.
	InForce bool          `json:"in_force"`
	Entries []EntryStatus `json:"entries"`
	VMs     []view.VM     `json:"vms"`
}

// EntryStatus is what control knows of one entry.
type EntryStatus struct {
	view.Entry
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// HeardMS is when the entry was last heard, in Unix milliseconds; 0 if
	// it was not since this process leads.
	HeardMS int64 `json:"heard_ms"`
	// InForce says that the entry works by the newest accepted version.
	InForce bool `json:"in_force"`
}

func (s *Server) registerStatus() {
	s.admin.Engine.GET("/v1/status", s.admin.Require(keys.Viewer), s.getStatus)
}

func (s *Server) getStatus(c *gin.Context) {
	if err := s.replica.ReadBarrier(c.Request.Context()); err != nil {
		failProposal(c, err)
		return
	}
	c.JSON(http.StatusOK, s.status())
}

func (s *Server) status() Status {
	f := s.machine.Fleet()
	status := Status{Replica: s.replica.Status(), Accepted: f.Version, Digest: f.Digest, InForce: true, Entries: []EntryStatus{}, VMs: []view.VM{}}
	for _, known := range f.Entries {
		entry := s.entryStatus(f, known.Entry)
		status.InForce = status.InForce && entry.InForce
		status.Entries = append(status.Entries, entry)
	}
	for _, vm := range f.VMs {
		status.VMs = append(status.VMs, vm.VM)
	}
	sort.Slice(status.Entries, func(i, j int) bool { return status.Entries[i].ID < status.Entries[j].ID })
	sort.Slice(status.VMs, func(i, j int) bool { return status.VMs[i].Name < status.VMs[j].Name })
	return status
}

func (s *Server) entryStatus(f *state.Fleet, entry view.Entry) EntryStatus {
	status := EntryStatus{Entry: entry}
	seen, heard := s.observers.get(entry.ID)
	if heard {
		status.Version = seen.version
		status.Revision = seen.revision
		status.HeardMS = seen.heardAt.UnixMilli()
	}
	status.InForce = heard && seen.revision >= f.VersionRevision && seen.version >= f.Version
	return status
}
