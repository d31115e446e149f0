package pool

import (
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/systems/rollout"
)

// logStep logs a step of a rollout with its evidence.
func logStep(logger *zap.Logger, s rollout.Step) {
	fields := append(recordFields(s.Record), zap.Int("percent", s.Percent),
		zap.Int("old_answers", s.OldAnswers.Answers), zap.Int("old_bad", s.OldAnswers.Bad),
		zap.Int("new_answers", s.NewAnswers.Answers), zap.Int("new_bad", s.NewAnswers.Bad),
		zap.Float64("score", s.Finding.Score), zap.String("route", s.Finding.Route), zap.Bool("recent", s.Finding.Recent),
		zap.Int("score_answers", s.Finding.Answers), zap.Int("score_bad", s.Finding.Bad), zap.Int("crashed", s.CrashedTargets), zap.Float64("slowdown", s.Slowdown))
	switch s.Phase {
	case rollout.Completed:
		event.RolloutCompleted.Log(logger, fields...)
	case rollout.RolledBack:
		event.RolloutRolledBack.Log(logger, fields...)
	default:
		event.RolloutShifted.Log(logger, fields...)
	}
}

func recordFields(r rollout.Record) []zap.Field {
	return []zap.Field{
		zap.String("service", string(r.Service)), zap.String("to", string(r.To)), zap.Int64("offset", r.Order.Offset),
		zap.String("phase", string(r.Phase)), zap.String("reason", string(r.Reason)),
		zap.Int64("requests", r.Requests), zap.Int64("exposed", r.Exposed), zap.Int64("bad", r.Bad),
	}
}
