package checker_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
)

// TestFaults compares the error for each file in testdata with its golden file.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in testdata: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			switch {
			case strings.HasPrefix(name, "entry"):
				_, err = checker.EntrySettings(text)
			case strings.HasPrefix(name, "agent"):
				_, err = checker.AgentSettings(text)
			default:
				_, err = checker.Document(text)
			}
			goldie.New(t).Assert(t, name, []byte(fmt.Sprintln(err)))
		})
	}
}
