// Package lifecycle runs a server program: it provides settings, logger, keys
// and recorder to fx, starts the program, and stops it gracefully on SIGTERM
// or SIGINT.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"arbutusward.example/arbutusward/internal/jsonc"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Exit codes of all programs.
const (
	ExitDone         = 0
	ExitFailed       = 1
	ExitBadInput     = 2
	ExitConflict     = 3
	ExitNotReachable = 4
	ExitRefused      = 5
)

// Timeouts of starting and stopping a process.
const (
	startTimeout = 15 * time.Second
	// stopTimeout bounds a graceful stop.
	stopTimeout = 10 * time.Minute
)

// errNoSettings is returned when the command line names no settings.
var errNoSettings = errors.New("name the settings file with --settings, or use --platform")

// errNotHosted is returned when --platform is given to a program that does
// not run on the hosting platform.
var errNotHosted = errors.New("this program does not run on the hosting platform")

// Identity identifies a process in logs and events, and names the folder of
// its keys.
type Identity struct {
	Program, ID, Zone, KeysDir string
}

// Program describes one server program.
type Program[S any] struct {
	// Name is the name of the binary.
	Name  string
	Usage string
	// Identity returns the identity that the settings define.
	Identity func(*S) Identity
	// Options are the fx options of the program. *S, *keys.Ring,
	// *timeline.Recorder and *slog.Logger are provided to them.
	Options fx.Option
	// Hosted prepares the program for the hosting platform. It is nil if the
	// program does not run there.
	Hosted func(*cli.Command) (*Hosted, error)
	// HostedFlags are the program's own flags on the hosting platform.
	HostedFlags []cli.Flag
}

// Hosted is a program on the hosting platform, which supplies the settings
// file.
type Hosted struct {
	Identity Identity
	// MemoryMB is the memory that the platform grants the process, 0 if it
	// sets no limit.
	MemoryMB int
	// Options are the fx options of the program. *timeline.Recorder and
	// *slog.Logger are provided to them.
	Options fx.Option
}

// Main runs the program with the process's arguments and exits.
func Main[S any](p Program[S]) {
	command := &cli.Command{
		Name:  p.Name,
		Usage: p.Usage,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings file, JSON with comments"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"},
			&cli.BoolFlag{Name: "platform", Usage: "run on the hosting platform, with its settings"},
		}, p.HostedFlags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("platform") {
				return runHosted(ctx, p.Name, p.Hosted, c)
			}
			if c.String("settings") == "" {
				return errNoSettings
			}
			return run(ctx, p, c.String("settings"), c.Bool("check"))
		},
	}
	err := command.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var problems jsonc.Problems
	if errors.As(err, &problems) {
		os.Exit(ExitBadInput)
	}
	os.Exit(ExitFailed)
}

func run[S any](ctx context.Context, p Program[S], path string, checkOnly bool) error {
	loaded, err := settings.Load[S](path)
	if err != nil || checkOnly {
		return err
	}
	identity := p.Identity(loaded)
	log := logging.New(os.Stderr, identity.Program, identity.ID, identity.Zone)
	// Libraries that use the default logger, such as quic-go, write to this
	// log too.
	slog.SetDefault(log)
	ring, err := keys.Load(identity.KeysDir)
	if err != nil {
		return logging.Wrap(err, "load keys", identity.KeysDir)
	}
	watchCtx, cancelWatch := context.WithCancel(ctx)
	defer cancelWatch()
	go ring.Watch(watchCtx, func(err error) { logKeysReload(log, identity.KeysDir, err) })
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(loaded, ring, log, timeline.NewRecorder(identity.ID, identity.Zone)),
		p.Options,
	)
	return runApp(ctx, app, log)
}

// logKeysReload logs that the keys were reloaded, or why the reload failed.
func logKeysReload(log *slog.Logger, dir string, err error) {
	if err != nil {
		log.Error("keys reload failed, current keys stay in use", logging.Err(logging.Wrap(err, "reload keys", dir)))
		return
	}
	log.Info("keys reloaded")
}

// runApp starts the app, waits for a signal to stop, and stops the app.
func runApp(ctx context.Context, app *fx.App, log *slog.Logger) error {
	startCtx, cancelStart := context.WithTimeout(ctx, app.StartTimeout())
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	log.Info("started")
	signal := <-app.Wait()
	log.Info("stopping", "signal", fmt.Sprint(signal.Signal))
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

// Service is a part of a program that is started and stopped with it.
type Service interface {
	Start() error
	Stop(ctx context.Context) error
}

// Attach starts and stops a service with the app.
func Attach(lc fx.Lifecycle, service Service) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return service.Start() },
		OnStop:  service.Stop,
	})
}
