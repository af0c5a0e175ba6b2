package commander

import (
	"github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
)

// kratosLogger forwards the log messages of kratos to zap.
type kratosLogger struct{ logger *zap.Logger }

// Log writes one message; levels above info are logged as warnings.
func (l kratosLogger) Log(level log.Level, keyvals ...any) error {
	s := l.logger.Sugar()
	switch level {
	case log.LevelDebug:
		s.Debugw("kratos", keyvals...)
	case log.LevelInfo:
		s.Infow("kratos", keyvals...)
	default:
		s.Warnw("kratos", keyvals...)
	}
	return nil
}
