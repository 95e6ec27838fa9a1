package lifecycle

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// memoryTargetPercent is the soft memory limit of the Go runtime in percent
// of the granted memory. The rest is left for received data that has not been
// read yet, and for stacks.
const memoryTargetPercent = 65

// runHosted runs a program on the hosting platform. It logs to standard
// output, which the platform collects.
func runHosted(ctx context.Context, program string, prepare func(*cli.Command) (*Hosted, error), c *cli.Command) error {
	if prepare == nil {
		return errNotHosted
	}
	hosted, err := prepare(c)
	if err != nil || c.Bool("check") {
		return err
	}
	if hosted.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(hosted.MemoryMB) << 20 * memoryTargetPercent / 100)
	}
	identity := hosted.Identity
	log, flush := logging.NewBounded(os.Stdout, program, identity.ID, identity.Zone)
	defer flush()
	slog.SetDefault(log)
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(log, timeline.NewRecorder(identity.ID, identity.Zone)),
		hosted.Options,
	)
	return runApp(ctx, app, log)
}
