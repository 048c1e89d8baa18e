package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank/soaker"
)

// soakCommand runs instances as processes and injects faults.
type soakCommand struct {
	Program   string        `help:"Path of pollencrankd." default:"target/pollencrankd"`
	Older     string        `help:"Path of pollencrankd of an older build, from which the fleet is upgraded and rolled back, one instance at a time." default:""`
	Seeds     string        `help:"Seeds to run, as numbers and ranges: 1,5,10-20." default:"1-3"`
	SeedFile  string        `help:"File with a seed at the start of each line, run before the others."`
	For       time.Duration `help:"How long faults are injected in each run." default:"15s"`
	Instances int           `help:"Number of instances." default:"4"`
	Servers   int           `help:"Number of backend servers." default:"9"`
	Callers   int           `help:"Number of callers." default:"24"`
	Tenants   bool          `help:"Callers need keys of tenants, which are added and revoked."`
	Only      []string      `help:"Kinds of faults to choose from; all by default: ${soakTroubles}."`
	Keep      string        `help:"Folder to copy the settings and logs of runs with a broken promise to." default:""`
	Verbose   bool          `help:"Print each injected fault."`
}

// Run runs every seed and fails if a run broke a promise.
func (c *soakCommand) Run(ctx context.Context) error {
	seeds, err := c.seeds()
	if err != nil {
		return err
	}
	failed := 0
	for _, seed := range seeds {
		result, err := c.runSeed(ctx, seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		printResult(seed, result)
		if len(result.Violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", len(seeds)-failed, failed)
	if failed > 0 {
		return fmt.Errorf("%d of %d runs broke a promise", failed, len(seeds))
	}
	return nil
}

func (c *soakCommand) runSeed(ctx context.Context, seed uint64) (soaker.Result, error) {
	folder, err := soaker.MakeFolder(seed)
	if err != nil {
		return soaker.Result{}, err
	}
	defer os.RemoveAll(folder)
	began := time.Now()
	log := func(string, ...any) {}
	if c.Verbose {
		log = func(format string, args ...any) {
			fmt.Printf("%7.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
		}
	}
	result, err := soaker.Run(ctx, soaker.Config{
		Program: c.Program, Older: c.Older, Seed: seed, Duration: c.For, Instances: c.Instances, Servers: c.Servers, Callers: c.Callers,
		Folder: folder, Tenants: c.Tenants, Only: c.Only, Log: log,
	})
	if err == nil && len(result.Violations) > 0 && c.Keep != "" {
		kept := fmt.Sprintf("%s/soak-%d", c.Keep, seed)
		if err := os.CopyFS(kept, os.DirFS(folder)); err != nil {
			return result, fmt.Errorf("keep the logs: %w", err)
		}
	}
	return result, err
}

func printResult(seed uint64, result soaker.Result) {
	counts := result.Counts
	fmt.Printf("seed %d: %d attempts, %d served, %d not run, %d unknown, %d cut; the machine stood still %d times; %s\n",
		seed, counts.Attempts, counts.Served, counts.NotRun, counts.Unknown, counts.Cut, result.Stalls, formatFaultCounts(result.Faults))
	for _, v := range result.Violations {
		fmt.Printf("  %s\n", v)
	}
}

func formatFaultCounts(faults map[string]int) string {
	var names []string
	for name, count := range faults {
		names = append(names, fmt.Sprintf("%s %d", name, count))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// maxSeeds bounds the number of seeds of one range.
const maxSeeds = 100_000

// seeds returns the seeds to run: those of the file first, then those of the flag.
func (c *soakCommand) seeds() ([]uint64, error) {
	var seeds []uint64
	if c.SeedFile != "" {
		data, err := os.ReadFile(c.SeedFile)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			fields := strings.Fields(line)
			if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
				continue
			}
			seed, err := strconv.ParseUint(fields[0], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("--seed-file: %q is no seed", fields[0])
			}
			seeds = append(seeds, seed)
		}
	}
	for _, part := range strings.Split(c.Seeds, ",") {
		if part == "" {
			continue
		}
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("--seeds: %q is no seed", first)
		}
		to, err := strconv.ParseUint(last, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("--seeds: %q is no seed", last)
		}
		if to < from || to-from >= maxSeeds {
			return nil, fmt.Errorf("--seeds: %q is not a range of at most %d seeds", part, maxSeeds)
		}
		for n := range to - from + 1 {
			seeds = append(seeds, from+n)
		}
	}
	return seeds, nil
}
