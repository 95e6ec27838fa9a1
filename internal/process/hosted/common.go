package hosted

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/platform"
)

// settingsInterval is the time between looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// followSettings takes the seeds of a changed settings file.
func followSettings(ctx context.Context, client *workcall.Client, log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	var seeds []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		seeds = takeSeeds(client, seeds, log)
	}
}

// takeSeeds reads the settings file again. After an error the former seeds
// stay in use.
func takeSeeds(client *workcall.Client, former []string, log *slog.Logger) []string {
	path, err := platform.SettingsPath()
	if err != nil {
		log.Error("settings not reloaded", logging.Err(err))
		return former
	}
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		log.Error("settings not reloaded, the former stay in use", logging.Err(err))
		return former
	}
	if !equalSeeds(former, loaded.SeedLinks) {
		log.Info("seeds taken from the settings", "seeds", loaded.SeedLinks)
		client.SetSeeds(loaded.SeedLinks)
	}
	return loaded.SeedLinks
}

func equalSeeds(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// metricsHandler serves the process's metrics as text.
func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
