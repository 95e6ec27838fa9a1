// Command arbutus-standin simulates targets and the platform on one machine.
// It is meant for tests and demonstrations only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/standin"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

func main() {
	gin.SetMode(gin.ReleaseMode)
	command := &cli.Command{
		Name:  "arbutus-standin",
		Usage: "simulate the platform and the targets of a fleet document, for tests and demonstrations",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "document", Required: true, Usage: "fleet document whose VMs are simulated"},
			&cli.StringFlag{Name: "tokens", Required: true, Usage: "folder with one POOL.token file for each pool"},
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "announcement address of an entry, as ZONE=host:port"},
			&cli.StringFlag{Name: "platform", Value: "127.0.0.1:7900", Usage: "listen address of the platform's API"},
			&cli.DurationFlag{Name: "reboot-time", Value: 2 * time.Second, Usage: "duration of a reboot"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.String("document"))
	if err != nil {
		return err
	}
	document, err := fleet.Parse(c.String("document"), text)
	if err != nil {
		return err
	}
	entries := map[string][]string{}
	for _, pair := range c.StringSlice("entry") {
		zone, address, found := strings.Cut(pair, "=")
		if !found {
			return fmt.Errorf("found entry %q, expected ZONE=host:port", pair)
		}
		entries[zone] = append(entries[zone], address)
	}
	platform := standin.NewPlatform(c.Duration("reboot-time"))
	if err := startTargets(platform, document, c.String("tokens"), entries); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.String("platform"))
	if err != nil {
		return err
	}
	fmt.Printf("simulating %d VMs, platform at %s\n", len(document.VMs), listener.Addr())
	go func() { _ = http.Serve(listener, platform.Handler()) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}

// startTargets adds the VMs of the document to the platform. Each VM runs a
// target that offers all services and announces itself to the entries of its
// zone.
func startTargets(platform *standin.Platform, document *fleet.Document, tokens string, entries map[string][]string) error {
	var services []string
	for _, service := range document.Services {
		services = append(services, service.Name)
	}
	for _, vm := range document.VMs {
		token, err := os.ReadFile(filepath.Join(tokens, vm.Pool+".token"))
		if err != nil {
			return fmt.Errorf("read the token of pool %s: %w", vm.Pool, err)
		}
		config := standin.TargetConfig{VM: vm.Name, Token: adminclient.ReadToken(token), Services: services, Entries: entries[vm.Zone]}
		if _, err := platform.Add(config); err != nil {
			return err
		}
	}
	return nil
}
