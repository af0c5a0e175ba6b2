package forwarder

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Calibrator learns how long targets take.
type Calibrator interface {
	ObservePrefill(t *registrar.Target, tokens identifier.Tokens, took time.Duration, now time.Time)
	ObserveAnswer(t *registrar.Target, gap time.Duration, now time.Time)
	ObservePlain(t *registrar.Target, took time.Duration, now time.Time)
}

// ratioBuckets are the upper bounds of the histogram of measured over predicted times. The goal is a median from 0.75 to 1.25.
var ratioBuckets = tally.ValueBuckets{0.1, 0.25, 0.5, 0.75, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 10}

// minimumGaps is the least number of gaps between events from which the pace of an answer is learned.
const minimumGaps = 8

// promptSizes name the sizes of prompts in the metrics, by the tokens to prefill.
var promptSizes = []struct {
	below identifier.Tokens
	name  string
}{{512, "Below512"}, {2048, "Below2048"}, {8192, "Below8192"}, {32768, "Below32768"}}

func promptSize(tokens identifier.Tokens) string {
	for _, size := range promptSizes {
		if tokens < size.below {
			return size.name
		}
	}
	return "Larger"
}

// observePrefill compares the duration of a prefill with its prediction, and learns from one that found an idle target.
func (rs *requestState) observePrefill(choice chooser.Choice, took time.Duration) {
	if choice.Predicted > 0 {
		rs.f.Metrics.Tagged(map[string]string{"Tokens": promptSize(choice.Uncached)}).
			Histogram("PredictionRatio", ratioBuckets).RecordValue(took.Seconds() / choice.Predicted.Seconds())
	}
	if rs.f.Calibrator != nil && choice.Idle {
		rs.f.Calibrator.ObservePrefill(choice.Target, choice.Uncached, took, time.Now())
	}
}

// observePlain learns from a plain call that found a free slot.
func (rs *requestState) observePlain(choice chooser.Choice, took time.Duration) {
	if rs.f.Calibrator != nil && choice.Idle {
		rs.f.Calibrator.ObservePlain(choice.Target, took, time.Now())
	}
}

// observeAnswer learns the pace of an answer from its first and last event.
func (rs *requestState) observeAnswer(t *registrar.Target, first, last time.Time, events int) {
	if rs.f.Calibrator != nil && t != nil && events > minimumGaps {
		rs.f.Calibrator.ObserveAnswer(t, last.Sub(first)/time.Duration(events-1), last)
	}
}
