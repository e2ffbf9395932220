package telemetry

import (
	"io"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	queuedLines  = 4096
	maxLineBytes = 16 << 10
)

// asyncWriter writes log lines in the background. A line that finds the queue
// full is dropped and counted, so that a slow reader of the log never holds up
// a request.
type asyncWriter struct {
	lines   chan []byte
	flushes chan chan struct{}
	out     io.Writer
	dropped *metrics.Counter
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{
		lines: make(chan []byte, queuedLines), flushes: make(chan chan struct{}), out: out,
		dropped: metrics.GetOrCreateCounter("sequoialane_log_lines_dropped_total"),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Inc()
	}
	return len(line), nil
}

// Sync waits until all lines so far are written.
func (w *asyncWriter) Sync() error {
	done := make(chan struct{})
	w.flushes <- done
	<-done
	return nil
}

func (w *asyncWriter) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.flushes:
			w.flush()
			close(done)
		}
	}
}

// write joins the lines that wait into one system call.
func (w *asyncWriter) write(joined []byte) {
	for len(joined) < maxLineBytes {
		select {
		case line := <-w.lines:
			joined = append(joined, line...)
			continue
		default:
		}
		break
	}
	_, _ = w.out.Write(joined) // there is nowhere to report a log that cannot be written
}

func (w *asyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// NewStdoutLogger returns a logger that writes JSON lines to standard output in
// the background. Its Sync waits until they are written.
func NewStdoutLogger(s Settings, process string) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), newAsyncWriter(os.Stdout), level)
	return zap.New(core).With(zap.String("process", process)), nil
}
