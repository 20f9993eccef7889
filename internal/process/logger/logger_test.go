package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"

	"github.com/foxtailwharf/foxtailwharf/internal/process/logger"
)

// TestLinesBesideClose has goroutines log lines before, during and after Close. Those that were logged before
// it are written, and none of the others does harm.
func TestLinesBesideClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const before, loggers, lines = 300, 8, 100
		var out bytes.Buffer
		l := logger.New(logger.Config{Out: &out})
		for n := range before {
			l.Info("before", zap.Int("Number", n))
		}
		var running sync.WaitGroup
		for range loggers {
			running.Go(func() {
				for n := range lines {
					l.Info("during", zap.Int("Number", n))
				}
			})
		}
		l.Close()
		running.Wait()
		l.Info("after")
		synctest.Wait()
		text := out.String()
		for n := range before {
			if want := fmt.Sprintf(`"Message":"before","Number":%d}`, n); !strings.Contains(text, want) {
				t.Errorf("the line with %s is missing", want)
			}
		}
		if strings.Contains(text, "after") {
			t.Error("a line was written after Close")
		}
	})
}
