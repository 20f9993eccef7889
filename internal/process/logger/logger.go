// Package logger writes structured lines to a stream without ever blocking the process:
// lines wait in a bounded ring, and what does not fit or comes too fast is dropped and
// counted.
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Constants of logging.
const (
	// ringLines is the number of lines that may wait to be written.
	ringLines = 2048
	// linesPerSecond bounds the lines of one process.
	linesPerSecond = 500
	// closeTime bounds the wait for the last lines.
	closeTime = time.Second
)

// Config holds the settings of a Logger.
type Config struct {
	Out       io.Writer
	IsVerbose bool
}

// Logger owns the ring behind a zap logger.
type Logger struct {
	*zap.Logger
	ring *ring
}

// New returns a logger whose writing has begun.
func New(c Config) *Logger {
	level := zapcore.InfoLevel
	if c.IsVerbose {
		level = zapcore.DebugLevel
	}
	r := &ring{out: c.Out, lines: make(chan []byte, ringLines), done: make(chan struct{})}
	go r.run()
	encoder := zapcore.EncoderConfig{
		TimeKey:        "Time",
		LevelKey:       "Level",
		MessageKey:     "Message",
		EncodeTime:     zapcore.TimeEncoderOfLayout(time.RFC3339Nano),
		EncodeLevel:    zapcore.CapitalLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), r, level)
	return &Logger{Logger: zap.New(&plainErrors{Core: core}), ring: r}
}

// Close writes what waits, within a bounded time.
func (l *Logger) Close() {
	close(l.ring.lines)
	select {
	case <-l.ring.done:
	case <-time.After(closeTime):
	}
}

// ring is the zapcore.WriteSyncer that never blocks.
type ring struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	second  atomic.Int64 // the second that count is of
	count   atomic.Int64
}

// Write takes in a line, or drops it.
func (r *ring) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if r.second.Swap(second) != second {
		r.count.Store(0)
	}
	if r.count.Add(1) > linesPerSecond {
		r.dropped.Add(1)
		return len(line), nil
	}
	// zap uses the buffer again after the call.
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (r *ring) Sync() error {
	return nil
}

func (r *ring) run() {
	defer close(r.done)
	for line := range r.lines {
		if dropped := r.dropped.Swap(0); dropped > 0 {
			line = append(line, fmt.Sprintf(`{"Level":"WARN","Message":"log: Lines were dropped.","Count":%d}`+"\n", dropped)...)
		}
		if _, err := r.out.Write(line); err != nil {
			// There is nowhere to say so; the next line may be written again.
			continue
		}
	}
}

// plainErrors writes errors as one text, without their stacks.
type plainErrors struct {
	zapcore.Core
}

// With adds fields to all lines.
func (p *plainErrors) With(fields []zap.Field) zapcore.Core {
	return &plainErrors{Core: p.Core.With(plain(fields))}
}

// Check adds the core to those that write the line.
func (p *plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write writes the line.
func (p *plainErrors) Write(entry zapcore.Entry, fields []zap.Field) error {
	return p.Core.Write(entry, plain(fields))
}

// plain returns the fields with errors as text.
func plain(fields []zap.Field) []zap.Field {
	changed := make([]zap.Field, 0, len(fields))
	for _, f := range fields {
		if err, isError := f.Interface.(error); isError && f.Type == zapcore.ErrorType {
			name := f.Key
			if name == "error" {
				name = "Error"
			}
			f = zap.String(name, err.Error())
		}
		changed = append(changed, f)
	}
	return changed
}
