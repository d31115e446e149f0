// Package observe provides the JSON log, trace spans, metrics and health endpoints of a
// process.
package observe

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one JSON object per line to w. Lines below
// level are discarded.
func NewLogger(w io.Writer, level zapcore.Level) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "message"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	sink := zapcore.Lock(zapcore.AddSync(w))
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, level))
}
