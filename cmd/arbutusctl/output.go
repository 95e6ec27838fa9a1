package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
)

// Forms of output.
const (
	outputTable = "table"
	outputText  = "text"
	outputJSON  = "json"
	outputHTML  = "html"
)

// checkOutput refuses a form of output that the command does not have.
func checkOutput(c *cli.Command) error {
	known := []string{outputTable, outputText, outputJSON}
	if c.Name == reportName {
		known = append(known, outputHTML)
	}
	if output := c.String("output"); !slices.Contains(known, output) {
		return badInput("found output %q, expected one of %v", output, known)
	}
	return nil
}

// wantsJSON says whether the output is for programs.
func wantsJSON(c *cli.Command) bool { return c.String("output") == outputJSON }

// show prints a value as JSON, or a line for people.
func show(c *cli.Command, value any, format string, args ...any) error {
	if wantsJSON(c) {
		return printJSON(value)
	}
	_, err := fmt.Printf(format+"\n", args...)
	return err
}

// printJSON writes a value as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
