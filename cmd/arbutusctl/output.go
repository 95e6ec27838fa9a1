package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
)

// Output formats.
const (
	outputTable = "table"
	outputText  = "text"
	outputJSON  = "json"
	outputHTML  = "html"
)

// checkOutput returns an error if the command does not support the output
// format.
func checkOutput(c *cli.Command) error {
	supported := []string{outputTable, outputText, outputJSON}
	if c.Name == reportName {
		supported = append(supported, outputHTML)
	}
	if output := c.String("output"); !slices.Contains(supported, output) {
		return badInput("found output %q, expected one of %v", output, supported)
	}
	return nil
}

// wantsJSON reports whether the output format is JSON.
func wantsJSON(c *cli.Command) bool { return c.String("output") == outputJSON }

// show prints the value if the output format is JSON, and the formatted line
// otherwise.
func show(c *cli.Command, value any, format string, args ...any) error {
	if wantsJSON(c) {
		return printJSON(value)
	}
	_, err := fmt.Printf(format+"\n", args...)
	return err
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
