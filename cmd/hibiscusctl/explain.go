package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the timeline of one request from the logs of several instances (- is standard input)",
		ArgsUsage: "REQUEST LOG...",
		Action:    explainRequest,
	}
}

func explainRequest(_ context.Context, cmd *cli.Command) error {
	if cmd.NArg() < 2 {
		return usageError{"explain needs a request identifier and at least one log file"}
	}
	var logs explain.Logs
	for _, path := range cmd.Args().Tail() {
		if err := readLog(&logs, path); err != nil {
			return usageError{err.Error()}
		}
	}
	timeline, err := logs.Timeline(cmd.Args().First())
	if err != nil {
		return err
	}
	if logs.SkippedLines > 0 {
		if _, err := fmt.Fprintf(cmd.Root().ErrWriter, "skipped %d lines that are not JSON log lines\n", logs.SkippedLines); err != nil {
			return err
		}
	}
	return explain.WriteTimeline(cmd.Root().Writer, timeline)
}

func readLog(logs *explain.Logs, path string) error {
	if path == "-" {
		return logs.Read(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return logs.Read(file)
}
