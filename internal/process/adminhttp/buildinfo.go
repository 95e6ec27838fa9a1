package adminhttp

import (
	"fmt"
	"path"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// registerBuildInfo exports what was built, as a gauge that is always 1.
func registerBuildInfo() {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return
	}
	name := fmt.Sprintf("arbutus_build_info{program=%q,version=%q,revision=%q,go=%q}",
		path.Base(info.Path), info.Main.Version, vcsRevision(info), info.GoVersion)
	metrics.GetOrCreateGauge(name, func() float64 { return 1 })
}

// registerCertificate exports the end of the node certificate's life.
func registerCertificate(ring *keys.Ring) {
	metrics.GetOrCreateGauge("arbutus_node_certificate_not_after_timestamp_seconds", func() float64 {
		return float64(ring.NotAfter().Unix())
	})
}

// vcsRevision returns the commit that was built, "" if it is not known.
func vcsRevision(info *debug.BuildInfo) string {
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
