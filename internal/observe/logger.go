// Package observe sets up what makes a process visible to operators: its JSON
// log, its trace spans, its metrics and its health endpoints.
package observe

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one JSON object a line to w. Lines
// less severe than level are dropped.
func NewLogger(w io.Writer, level zapcore.Level) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "message"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	sink := zapcore.Lock(zapcore.AddSync(w))
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, level))
}
