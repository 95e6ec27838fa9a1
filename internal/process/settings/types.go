package settings

import (
	"reflect"
	"strings"
)

// Entry is the settings file of arbutus-entry.
type Entry struct {
	// ID is the name of the entry. It must stay the same across restarts.
	ID string `json:"id" validate:"required"`
	// Zone is the availability zone of the entry VM.
	Zone string `json:"zone" validate:"required"`
	// KeysDir is the folder with ca.pem, node.pem and node.key.
	KeysDir string `json:"keys_dir" validate:"required"`
	// DataDir is the directory for files that outlive the process, or "" on a
	// VM without a disk.
	DataDir string `json:"data_dir"`
	// Callers is the address that serves callers over HTTP.
	Callers string `json:"callers" validate:"required,hostname_port"`
	// Announce is the address that accepts target announcements over HTTP.
	Announce string `json:"announce" validate:"required,hostname_port"`
	// Link is the UDP address for other processes of the system.
	Link string `json:"link" validate:"required,hostname_port"`
	// Admin is the address of metrics, readiness and the timeline (HTTPS).
	Admin string `json:"admin" validate:"required,hostname_port"`
	// Control lists the link addresses of the control processes.
	Control []string `json:"control" validate:"required,min=1,dive,hostname_port"`
	// DrainMS is the time between failing the readiness check and closing the
	// callers' port during a graceful stop, in ms; default 2000.
	DrainMS int `json:"drain_ms" validate:"min=0,max=600000"`
}

// Control is the settings file of arbutus-control.
type Control struct {
	// ID is the name of the control process and its disk. A replaced disk
	// needs a new ID.
	ID string `json:"id" validate:"required"`
	// Zone is the availability zone of the control VM.
	Zone string `json:"zone" validate:"required"`
	// KeysDir is the folder with ca.pem, node.pem and node.key.
	KeysDir string `json:"keys_dir" validate:"required"`
	// DataDir is the directory for the replicated log and snapshots.
	DataDir string `json:"data_dir" validate:"required"`
	// Link is the UDP address for other processes of the system.
	Link string `json:"link" validate:"required,hostname_port"`
	// Admin is the address for operators (HTTPS).
	Admin string `json:"admin" validate:"required,hostname_port"`
	// Members lists the initial voters of a new deployment. It is read only
	// while the data directory is empty; later changes of the members go through
	// the log.
	Members []Member `json:"members" validate:"dive"`
	// Join makes a process with an empty data directory join an existing
	// deployment, as a learner that an operator adds, instead of bootstrapping
	// a new one.
	Join bool `json:"join"`
	// Platform is the base URL of the platform's API, or "" if there is none.
	Platform string `json:"platform" validate:"omitempty,url"`
}

// Member is one control process as named in settings.
type Member struct {
	ID   string `json:"id" validate:"required"`
	Link string `json:"link" validate:"required,hostname_port"`
	// Admin is the member's address for operators. Followers name the
	// leader's address to operators that reach them.
	Admin string `json:"admin" validate:"required,hostname_port"`
}

// Console is the settings file of arbutus-console.
type Console struct {
	// ID is the name of the console process.
	ID string `json:"id" validate:"required"`
	// KeysDir is the folder with ca.pem, node.pem and node.key.
	KeysDir string `json:"keys_dir" validate:"required"`
	// Listen is the address of the console's pages (HTTPS).
	Listen string `json:"listen" validate:"required,hostname_port"`
	// Control lists the operator addresses of the control processes.
	Control []string `json:"control" validate:"required,min=1,dive,hostname_port"`
	// SessionMinutes is the time after which an idle session ends, in
	// minutes; default 30.
	SessionMinutes int `json:"session_minutes" validate:"min=0,max=1440"`
	// SampleToken is a file with a viewer token that the console uses to
	// sample capacity. If it is "", the console samples only while somebody
	// is signed in, with their token.
	SampleToken string `json:"sample_token"`
	// SampleSeconds is the time between samples, in seconds; default 10.
	SampleSeconds int `json:"sample_seconds" validate:"min=0,max=3600"`
}

// CLI is the settings file of arbutusctl. Flags and environment variables
// take precedence over it. Relative paths are relative to the folder of the
// file.
type CLI struct {
	// Control lists the operator addresses of the control processes.
	Control []string `json:"control" validate:"dive,hostname_port"`
	// CA is the folder with ca.pem.
	CA string `json:"ca"`
	// Token is the file with the operator's token.
	Token string `json:"token"`
}

// jsonName returns the name of a field in the settings file.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
