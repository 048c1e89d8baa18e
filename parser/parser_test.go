package parser_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/parser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against changes of the faults that operators read: each document in testdata
// has a golden file with the expected faults.
func TestFaults(t *testing.T) {
	documents, err := filepath.Glob("testdata/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, documents)
	for _, document := range documents {
		t.Run(filepath.Base(document), func(t *testing.T) {
			text, err := os.ReadFile(document)
			require.NoError(t, err)
			_, faults := parser.Parse(text)
			var lines strings.Builder
			for _, f := range faults {
				lines.WriteString(f.String() + "\n")
			}
			golden := strings.TrimSuffix(document, ".yaml") + ".faults"
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(lines.String()), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), lines.String())
		})
	}
}

func TestFormatThenParseKeepsTheConfiguration(t *testing.T) {
	size := standin.DesignSize
	size.Blocks, size.Sites, size.Locations = 50, 10, 4
	want := standin.MakeConfiguration(size)
	text, err := parser.Format(want)
	require.NoError(t, err)
	got, faults := parser.Parse(text)
	require.NoError(t, faults.Err())
	require.Equal(t, want.Servers, got.Servers)
	require.Equal(t, want.Workloads, got.Workloads)
	require.Equal(t, want.Presets, got.Presets)
	require.Equal(t, want.ClientBlocks, got.ClientBlocks)
	require.Equal(t, want.Locations, got.Locations)
}

func FuzzParse(f *testing.F) {
	documents, err := filepath.Glob("testdata/*.yaml")
	require.NoError(f, err)
	for _, document := range documents {
		text, err := os.ReadFile(document)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, faults := parser.Parse(text)
		if faults.Err() == nil {
			require.NotEqual(t, pollencrank.Preset{}, c.Preset())
		}
	})
}
