package telemetry

import (
	"io"
	"os"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines = 4096
	maxLineBytes   = 16 << 10
	// maxQueuedBytes limits the lines in the queue. Lines may hold text of requests, so
	// clients choose their length.
	maxQueuedBytes = 4 << 20
)

// asyncWriter writes log lines in the background. Lines are dropped and counted
// while the queue is full, so that a slow log reader never blocks a request.
type asyncWriter struct {
	lines   chan []byte
	flushes chan chan struct{}
	out     io.Writer
	dropped *metrics.Counter
	queued  atomic.Int64 // bytes
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{
		lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{}), out: out,
		dropped: metrics.GetOrCreateCounter("sequoialane_log_lines_dropped_total"),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks, and cuts a line at maxLineBytes.
func (w *asyncWriter) Write(line []byte) (int, error) {
	size := min(len(line), maxLineBytes)
	if w.queued.Add(int64(size)) > maxQueuedBytes {
		w.queued.Add(-int64(size))
		w.dropped.Inc()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line[:size]...):
	default:
		w.queued.Add(-int64(size))
		w.dropped.Inc()
	}
	return len(line), nil
}

// Sync waits until all lines queued so far are written.
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
			w.queued.Add(-int64(len(line)))
			w.write(line)
		case done := <-w.flushes:
			w.flush()
			close(done)
		}
	}
}

// write appends queued lines to batch until it has maxLineBytes or the queue is
// empty, and writes them with one system call.
func (w *asyncWriter) write(batch []byte) {
	for len(batch) < maxLineBytes {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	_, _ = w.out.Write(batch) // a failed log write cannot be reported anywhere
}

func (w *asyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			w.write(line)
		default:
			return
		}
	}
}

// NewStdoutLogger returns a logger that writes JSON lines to standard output in
// the background. Sync waits until they are written.
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
