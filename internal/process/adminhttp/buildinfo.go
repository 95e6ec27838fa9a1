package adminhttp

import (
	"fmt"
	"path"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// registerBuildInfo registers a gauge that is always 1, with the version of
// the program in its labels.
func registerBuildInfo() {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return
	}
	name := fmt.Sprintf("arbutus_build_info{program=%q,version=%q,revision=%q,go=%q}",
		path.Base(info.Path), info.Main.Version, vcsRevision(info), info.GoVersion)
	metrics.GetOrCreateGauge(name, func() float64 { return 1 })
}

// registerCertificate registers a gauge with the expiry time of the node
// certificate.
func registerCertificate(ring *keys.Ring) {
	metrics.GetOrCreateGauge("arbutus_node_certificate_not_after_timestamp_seconds", func() float64 {
		return float64(ring.NotAfter().Unix())
	})
}

// vcsRevision returns the commit that the program was built from, or "" if it
// is unknown.
func vcsRevision(info *debug.BuildInfo) string {
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
