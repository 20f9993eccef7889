// Package logger writes structured log lines without ever blocking the process. Lines are queued
// in a bounded buffer; lines that exceed the buffer or the rate limit are dropped and counted.
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// bufferedLines is the number of lines that may wait to be written.
	bufferedLines = 2048
	// maxLinesPerSecond bounds the log rate of a process.
	maxLinesPerSecond = 500
	// closeTimeout bounds how long Close waits for the last lines to be written.
	closeTimeout = time.Second
)

// Config holds the settings of a Logger. IsVerbose also logs lines of level debug.
type Config struct {
	Out       io.Writer
	IsVerbose bool
}

// Logger is a zap logger that writes to a bounded buffer. Lines that are logged after Close are dropped.
type Logger struct {
	*zap.Logger
	buffer *buffer
}

// New returns a logger and starts the goroutine that writes its lines.
func New(c Config) *Logger {
	level := zapcore.InfoLevel
	if c.IsVerbose {
		level = zapcore.DebugLevel
	}
	b := &buffer{out: c.Out, lines: make(chan []byte, bufferedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	encoder := zapcore.EncoderConfig{
		TimeKey:        "Time",
		LevelKey:       "Level",
		MessageKey:     "Message",
		EncodeTime:     zapcore.TimeEncoderOfLayout(time.RFC3339Nano),
		EncodeLevel:    zapcore.CapitalLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), b, level)
	return &Logger{Logger: zap.New(&errorTextCore{Core: core}), buffer: b}
}

// Close writes the buffered lines, waiting for at most closeTimeout.
func (l *Logger) Close() {
	close(l.buffer.quit)
	select {
	case <-l.buffer.done:
	case <-time.After(closeTimeout):
	}
}

// buffer is a zapcore.WriteSyncer that never blocks.
type buffer struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{} // closed by Close
	done    chan struct{}
	dropped atomic.Int64
	second  atomic.Int64 // Unix time of the second that count refers to
	count   atomic.Int64
}

// Write queues a line, or drops it if the buffer is full or the rate limit is reached.
func (b *buffer) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if b.second.Swap(second) != second {
		b.count.Store(0)
	}
	if b.count.Add(1) > maxLinesPerSecond {
		b.dropped.Add(1)
		return len(line), nil
	}
	// zap reuses the slice after the call.
	owned := append([]byte(nil), line...)
	select {
	case b.lines <- owned:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as soon as possible.
func (b *buffer) Sync() error {
	return nil
}

// run writes lines until quit is closed, and then those that still wait.
func (b *buffer) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.writeOut(line)
		case <-b.quit:
			for len(b.lines) > 0 {
				b.writeOut(<-b.lines)
			}
			return
		}
	}
}

// writeOut writes a line, and the number of lines that were dropped. A failed write cannot be logged;
// later lines may succeed.
func (b *buffer) writeOut(line []byte) {
	if dropped := b.dropped.Swap(0); dropped > 0 {
		line = append(line, fmt.Sprintf(`{"Level":"WARN","Message":"log: lines were dropped","Count":%d}`+"\n", dropped)...)
	}
	_, _ = b.out.Write(line)
}

// errorTextCore writes errors as their message only, without stack traces.
type errorTextCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c *errorTextCore) With(fields []zap.Field) zapcore.Core {
	return &errorTextCore{Core: c.Core.With(errorsToText(fields))}
}

// Check implements zapcore.Core. It adds this core, not the embedded one, so that Write converts
// the fields.
func (c *errorTextCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *errorTextCore) Write(entry zapcore.Entry, fields []zap.Field) error {
	return c.Core.Write(entry, errorsToText(fields))
}

// errorsToText returns the fields with errors replaced by their messages. A field with the default
// key of zap is renamed to Error.
func errorsToText(fields []zap.Field) []zap.Field {
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
