package hosted

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/pprof"
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

// settingsInterval is the time between two reads of the settings file, which
// may change without a SIGHUP.
const settingsInterval = 2 * time.Second

// watchSettings reloads the seeds from the settings file on SIGHUP and at an
// interval, until the context ends.
func watchSettings(ctx context.Context, seeds []string, client *workcall.Client, log *slog.Logger) {
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
		seeds = reloadSeeds(client, seeds, log)
	}
}

// reloadSeeds reads the settings file and returns its seeds. If they have
// changed it passes them to the client. After an error the current seeds stay
// in use.
func reloadSeeds(client *workcall.Client, current []string, log *slog.Logger) []string {
	loaded, err := platform.LoadSettings()
	if err != nil {
		log.Error("settings reload failed, current settings stay in use", logging.Err(err))
		return current
	}
	if !slices.Equal(current, loaded.SeedLinks) {
		log.Info("seeds reloaded", "seeds", loaded.SeedLinks)
		client.SetSeeds(loaded.SeedLinks)
	}
	return loaded.SeedLinks
}

// listenLinks opens the link listener of a process, with a key that is
// generated at each start.
func listenLinks(id string, s *platform.Settings, recorder *timeline.Recorder, log *slog.Logger) (*link.Node, error) {
	ring, err := keys.NewEphemeral(id)
	if err != nil {
		return nil, err
	}
	return link.Listen(s.LinkAddress, ring, recorder, log)
}

// metricsHandler serves the process's metrics in the Prometheus text format and, if
// profiles is set, profiles of its processor time.
func metricsHandler(profiles bool) *http.ServeMux {
	mux := http.NewServeMux()
	if profiles {
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
