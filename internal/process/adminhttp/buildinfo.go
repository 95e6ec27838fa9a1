package adminhttp

import (
	"fmt"
	"path"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
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

// vcsRevision returns the commit that was built, "" if it is not known.
func vcsRevision(info *debug.BuildInfo) string {
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
