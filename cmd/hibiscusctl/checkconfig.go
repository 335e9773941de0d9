package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/platform"
)

// smallestMemoryMB is the memory of the smallest instance.
const smallestMemoryMB = 184

// maxConfigBytes bounds the size of a configuration file, like a response of the store.
const maxConfigBytes = 8 << 20

var (
	errConfigInvalid = errors.New("the configuration has errors")
	errConfigStore   = errors.New("cannot read the version in force")
)

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check the operator's configuration in FILE (- is standard input) and report all errors, with --against also what differs from the version in force",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "address or URL of the store with the version in force"},
			&cli.IntFlag{Name: "memory-mb", Usage: "memory of the smallest instance in MB; 0 is unknown", Value: smallestMemoryMB},
		},
		Action: checkConfig,
	}
}

// configReport is the result of check-config.
type configReport struct {
	Errors      []platform.Finding `json:"errors"`
	Differences []platform.Finding `json:"differences,omitempty"`
}

func checkConfig(ctx context.Context, cmd *cli.Command) error {
	path, err := singleArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	document, err := readConfig(path)
	if err != nil {
		return usageError{err.Error()}
	}
	memory := int64(cmd.Int("memory-mb")) << 20
	report := configReport{Errors: platform.CheckConfig(document, forward.LargestBodyBytes(memory))}
	if report.Errors == nil {
		report.Errors = []platform.Finding{} // an empty list in JSON
	}
	var storeErr error
	if store := cmd.String("against"); store != "" && json.Valid(document) {
		report.Differences, storeErr = differences(ctx, store, document)
	}
	if err := writeConfigReport(cmd, report); err != nil {
		return err
	}
	if len(report.Errors) > 0 {
		return errors.Join(fmt.Errorf("%w: %d", errConfigInvalid, len(report.Errors)), storeErr)
	}
	return storeErr
}

func readConfig(path string) ([]byte, error) {
	file := os.Stdin
	if path != "-" {
		opened, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	document, err := io.ReadAll(io.LimitReader(file, maxConfigBytes+1))
	if err == nil && len(document) > maxConfigBytes {
		err = fmt.Errorf("%s: larger than %d bytes", path, maxConfigBytes)
	}
	return document, err
}

// differences compares the document with the version in force.
func differences(ctx context.Context, store string, document []byte) ([]platform.Finding, error) {
	address := strings.TrimSuffix(strings.TrimPrefix(store, "http://"), "/")
	read, err := platform.NewStore(address, platform.NewHTTPClient()).ReadTable(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errConfigStore, err)
	}
	if read.Table == nil {
		return []platform.Finding{{Path: "$", Message: "no configuration is in force"}}, nil
	}
	found, err := platform.CompareConfig(read.Table.Document, document)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errConfigStore, err)
	}
	return found, nil
}

func writeConfigReport(cmd *cli.Command, report configReport) error {
	w := cmd.Root().Writer
	if cmd.String("output") == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, f := range report.Errors {
		fmt.Fprintf(table, "error\t%s\t%s\n", f.Path, f.Message)
	}
	for _, f := range report.Differences {
		fmt.Fprintf(table, "differs\t%s\t%s\n", f.Path, f.Message)
	}
	return table.Flush()
}
