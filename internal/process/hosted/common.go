package hosted

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/platform"
)

// settingsInterval is the time between looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// followSettings takes the seeds of a changed settings file.
func followSettings(ctx context.Context, seeds []string, client *workcall.Client, log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
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
	loaded, err := platform.LoadSettings()
	if err != nil {
		log.Error("settings not reloaded, the former stay in use", logging.Err(err))
		return former
	}
	if !slices.Equal(former, loaded.SeedLinks) {
		log.Info("seeds taken from the settings", "seeds", loaded.SeedLinks)
		client.SetSeeds(loaded.SeedLinks)
	}
	return loaded.SeedLinks
}

// listenLinks opens the links of a process under a key made at this start.
func listenLinks(id string, s *platform.Settings, recorder *timeline.Recorder, log *slog.Logger) (*link.Node, error) {
	ring, err := keys.NewEphemeral(id)
	if err != nil {
		return nil, err
	}
	return link.Listen(s.LinkAddress, ring, recorder, log)
}

// metricsHandler serves the process's metrics as text.
func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
