package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// quotasCommand shows what a hosted instance knows of tenants' quotas.
type quotasCommand struct {
	Entry string `help:"Address of the peers' port of an instance." required:"" placeholder:"ADDRESS"`
	JSON  bool   `name:"json" help:"Print the answer of the instance as it is."`
}

// quotaRow is a row of the page that the instance serves.
type quotaRow struct {
	Tenant      string               `json:"tenant"`
	PerSecond   float64              `json:"perSecond"`
	Burst       float64              `json:"burst"`
	Holders     []string             `json:"holders"`
	IsHolder    bool                 `json:"isHolder"`
	Tokens      float64              `json:"tokens"`
	SpentUntil  map[string]time.Time `json:"spentUntil"`
	SilentUntil map[string]time.Time `json:"silentUntil"`
}

// quotasTimeout limits the time of the call.
const quotasTimeout = 5 * time.Second

// Run implements the command.
func (c *quotasCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quotasTimeout)
	defer cancel()
	rows, err := fetchQuotas(ctx, c.Entry)
	if err != nil {
		return err
	}
	if c.JSON {
		encoded, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(encoded))
		return nil
	}
	table := newTable()
	fmt.Fprintln(table, "TENANT\tPER SECOND\tBURST\tHELD HERE\tHOLDERS")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%g\t%g\t%s\t%s\n", row.Tenant, row.PerSecond, row.Burst, row.held(), row.holders())
	}
	return table.Flush()
}

func fetchQuotas(ctx context.Context, entry string) ([]quotaRow, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+strings.TrimPrefix(entry, "http://")+"/quotas", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("instance at %s: status %d", entry, response.StatusCode)
	}
	var rows []quotaRow
	if err := json.NewDecoder(response.Body).Decode(&rows); err != nil {
		return nil, fmt.Errorf("instance at %s: %w", entry, err)
	}
	return rows, nil
}

// held returns the tokens that the instance holds itself.
func (r quotaRow) held() string {
	if !r.IsHolder {
		return "-"
	}
	return fmt.Sprintf("%.1f tokens", r.Tokens)
}

// holders returns the holders, with those that the instance does not ask for now.
func (r quotaRow) holders() string {
	var texts []string
	for _, holder := range r.Holders {
		switch {
		case !r.SilentUntil[holder].IsZero():
			holder += " (silent)"
		case !r.SpentUntil[holder].IsZero():
			holder += " (spent)"
		}
		texts = append(texts, holder)
	}
	return strings.Join(texts, ", ")
}
