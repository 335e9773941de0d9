// Command soak runs the soak test with faults for one seed after the other. It
// exits with 1 if a run fails or violates a guarantee to callers, and keeps the logs
// of such runs.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/soak"
)

func main() {
	first := flag.Uint64("seed", uint64(time.Now().Unix()), "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	duration := flag.Duration("duration", 12*time.Second, "duration of the faults for each seed")
	instances := flag.Int("instances", 4, "number of instances")
	engines := flag.Int("engines", 9, "number of engines")
	callers := flag.Int("callers", 12, "number of concurrent callers")
	directory := flag.String("logs", "out/soak-logs", "directory for the logs")
	rollout := flag.Bool("rollout", false, "move the engines to another version meanwhile")
	extra := flag.Bool("extra", true, "restore the store, let engines leave and pause desks too")
	keep := flag.Bool("keep", false, "keep the logs and print the faults of seeds without violations too")
	flag.Parse()
	failedSeeds := 0
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		logs := filepath.Join(*directory, fmt.Sprint(seed))
		if err := os.MkdirAll(logs, 0o755); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		report, err := soak.Run(context.Background(), soak.Options{
			Seed: seed, Duration: *duration, Instances: *instances, Engines: *engines, Callers: *callers, LogDirectory: logs,
			ExtraFaults: *extra, Rollout: *rollout,
		})
		fmt.Printf("seed %d: %d requests, %d served, %d faults, %d guarantees violated\n",
			seed, report.Requests, report.Served, len(report.Faults), len(report.Violations))
		if err == nil && len(report.Violations) == 0 && !*keep {
			_ = os.RemoveAll(logs)
			continue
		}
		if err != nil || len(report.Violations) > 0 {
			failedSeeds++
		}
		fmt.Printf("  error: %v\n  faults: %q\n", err, report.Faults)
		for _, violation := range report.Violations[:min(10, len(report.Violations))] {
			fmt.Println("  broken:", violation)
		}
	}
	if failedSeeds > 0 {
		os.Exit(1)
	}
}
