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
	// Accepted is the newest version accepted by a majority.
	Accepted uint64 `json:"accepted"`
	Digest   string `json:"digest"`
	// InForce is set if every registered entry has applied Accepted.
	InForce bool          `json:"in_force"`
	Entries []EntryStatus `json:"entries"`
	VMs     []view.VM     `json:"vms"`
}

// EntryStatus is the status of one entry as known to control.
type EntryStatus struct {
	view.Entry
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// HeardMS is the time of the last contact with the entry in Unix
	// milliseconds, or 0 if there was none since this process became the
	// leader.
	HeardMS int64 `json:"heard_ms"`
	// InForce is set if the entry has applied the newest accepted version.
	InForce bool `json:"in_force"`
}

func (s *Server) registerStatus() {
	s.admin.Engine.GET("/v1/status", s.admin.Require(keys.Viewer), s.getStatus)
}

func (s *Server) getStatus(c *gin.Context) {
	if !s.confirmLeader(c) {
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
	last, known := s.observations.get(entry.ID)
	if known {
		status.Version = last.version
		status.Revision = last.revision
		status.HeardMS = last.lastContact.UnixMilli()
	}
	status.InForce = known && last.revision >= f.VersionRevision && last.version >= f.Version
	return status
}
