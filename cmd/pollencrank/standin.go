package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/pollencrank/pollencrank/internal/standin"
)

// standinCommand runs a stand-in for the store or a backend server, so that
// entries can be tried as separate processes.
type standinCommand struct {
	Store   standinStoreCommand   `cmd:"" help:"Run an in-memory stand-in for the platform's store."`
	Backend standinBackendCommand `cmd:"" help:"Run a stand-in for a backend server."`
}

// standinStoreCommand runs a store stand-in.
type standinStoreCommand struct {
	Address string `help:"IP number and port." default:"127.0.0.1:7000"`
}

// Run implements the command.
func (c *standinStoreCommand) Run(ctx context.Context) error {
	server := &http.Server{Addr: c.Address, Handler: standin.NewStoreHandler(standin.NewStore())}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Println("store stand-in on", c.Address)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("store stand-in: %w", err)
	}
	return nil
}

// standinBackendCommand runs a backend server stand-in.
type standinBackendCommand struct {
	Name    string        `help:"Name of the server." default:"server-1"`
	Address string        `help:"IP number and port." default:"127.0.0.1:7100"`
	Slots   int           `help:"Number of requests that run at once." default:"4"`
	Service time.Duration `help:"Median service time of a request." default:"40ms"`
}

// Run implements the command.
func (c *standinBackendCommand) Run(ctx context.Context) error {
	backend, err := standin.StartBackend(standin.BackendConfig{
		Name: c.Name, Address: c.Address, Slots: c.Slots, ServiceTime: standin.HeavyTailed(c.Service, 1),
	})
	if err != nil {
		return err
	}
	defer backend.Close()
	fmt.Println("backend stand-in on", backend.Address())
	<-ctx.Done()
	return nil
}
