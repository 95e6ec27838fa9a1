package main

import (
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/settings"
)

// loadConfig returns the settings from the settings file, if --config names
// one. Flags and environment variables override the file.
func loadConfig(c *cli.Command) (settings.CLI, error) {
	var config settings.CLI
	if path := c.String("config"); path != "" {
		loaded, err := settings.Load[settings.CLI](path)
		if err != nil {
			return config, &inputError{err}
		}
		config = *loaded
		config.CA = resolvePath(path, config.CA)
		config.Token = resolvePath(path, config.Token)
	}
	if c.IsSet("control") {
		config.Control = c.StringSlice("control")
	}
	if c.IsSet("ca") {
		config.CA = c.String("ca")
	}
	if c.IsSet("token") {
		config.Token = c.String("token")
	}
	if len(config.Control) == 0 || config.CA == "" || config.Token == "" {
		return config, badInput("expected --control, --ca and --token, or a settings file with them (--config)")
	}
	return config, nil
}

// resolvePath resolves a relative path in the settings file against the
// folder of that file.
func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// newClient returns a client for the deployment that the flags and the
// settings file describe.
func newClient(c *cli.Command) (*adminclient.Client, error) {
	config, err := loadConfig(c)
	if err != nil {
		return nil, err
	}
	ring, err := keys.LoadCA(config.CA)
	if err != nil {
		return nil, &inputError{err}
	}
	token, err := os.ReadFile(config.Token)
	if err != nil {
		return nil, badInput("read operator token: %w", err)
	}
	return adminclient.New(ring, config.Control, adminclient.ReadToken(token)), nil
}
