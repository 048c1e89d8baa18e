package main

import (
	"fmt"
	"os"

	"github.com/pollencrank/pollencrank/narrator"
)

// requestCommand shows the course of a request from the logs of instances.
type requestCommand struct {
	ID    string   `arg:"" help:"ID of the request, as its caller sent it."`
	Files []string `arg:"" help:"Logs of the instances." type:"existingfile"`
}

// Run implements the command.
func (c *requestCommand) Run() error {
	var all []narrator.Line
	for _, path := range c.Files {
		lines, err := readLog(path)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	story := narrator.NewTimeline(all, c.ID)
	if len(story.Lines) == 0 {
		return fmt.Errorf("no line of %d names request %s", len(all), c.ID)
	}
	return story.Write(os.Stdout)
}

func readLog(path string) ([]narrator.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines, skipped, err := narrator.Read(path, file)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are not of an instance\n", path, skipped)
	}
	return lines, err
}
