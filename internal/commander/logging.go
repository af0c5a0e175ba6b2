package commander

import (
	"bytes"
	"context"
	"io"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/coltsfootscale/coltsfootscale/internal/spooler"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// flushTimeout is how long the end of a process waits for the reader of its log.
const flushTimeout = 300 * time.Millisecond

// NewLogger returns a logger that writes JSON lines with Pascal-case field names.
func NewLogger(out zapcore.WriteSyncer, debug bool) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.LevelKey, cfg.MessageKey, cfg.CallerKey, cfg.StacktraceKey = "Time", "Level", "Message", "", ""
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	level := zapcore.InfoLevel
	if debug {
		level = zapcore.DebugLevel
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, level))
}

// newLogOutput returns an output for an instance's log that does not wait for the reader of out.
func newLogOutput(out io.Writer, instance identifier.InstanceID) *spooler.Spooler {
	// Without this, a write to a standard output that its reader has closed ends the process.
	signal.Ignore(syscall.SIGPIPE)
	return &spooler.Spooler{Output: out, Gap: func(l spooler.Loss) []byte {
		var line bytes.Buffer
		NewLogger(zapcore.AddSync(&line), false).Warn("log lines dropped",
			zap.String("Instance", string(instance)), zap.Int64("Lines", l.Lines), zap.Int64("Bytes", l.Bytes))
		return line.Bytes()
	}}
}

// flushLog writes the lines that still wait if the reader reads on in time. There is nowhere to report that it does not.
func flushLog(out *spooler.Spooler) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = out.Flush(ctx)
}
