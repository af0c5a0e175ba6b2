package relayer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/answerer"
	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
)

// A call with an idempotency key leaves two records in the journal: the dispatch before the first
// byte goes to the target, and the result after its answer. The first dispatch of a key in stream
// order wins, and only its writer sends the call, once.

// inFlightKeys are the keys that this instance is serving; the zero value is empty.
type inFlightKeys struct {
	mu   sync.Mutex
	keys map[string]bool
}

func (f *inFlightKeys) enter(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keys == nil {
		f.keys = map[string]bool{}
	}
	if f.keys[key] {
		return false
	}
	f.keys[key] = true
	return true
}

func (f *inFlightKeys) exit(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.keys, key)
}

func (s *Relayer) serveKeyed(v *serviceCall) {
	key := string(v.team) + "/" + v.key()
	digest := digestOf(v)
	if !s.Journal.Ready() {
		s.refuse(v.call, journalDown())
		return
	}
	if !s.inFlight.enter(key) {
		s.refuse(v.call, inProgress())
		return
	}
	defer s.inFlight.exit(key)
	if known := s.Journal.Entry(key); known != nil {
		s.answerKnown(v, known, digest)
		return
	}
	handle, refusal := s.routeService(v, 1)
	if refusal != nil {
		s.refuse(v.call, refusal)
		return
	}
	dispatchID, refusal := s.dispatch(v, key, digest)
	if dispatchID == "" {
		s.Tracker.Release(tracker.Plan{Answer: handle})
		if refusal != nil {
			s.refuse(v.call, refusal)
		}
		return
	}
	winner := s.Journal.Entry(key)
	asserter.That(winner != nil && winner.DispatchID == dispatchID && winner.Result == nil, asserter.WinnerSends, "key %s", key)
	answer, err := s.send(v, handle)
	s.Tracker.Finish(handle, err != nil)
	if err != nil {
		s.failKeyed(v, key, dispatchID, err)
		return
	}
	s.records.Go(func() { s.recordResult(key, dispatchID, answer) })
	s.answer(v, answer)
}

// dispatch records that this instance will send the call, and returns the record's id if it may.
func (s *Relayer) dispatch(v *serviceCall, key, digest string) (string, *answerer.Refusal) {
	record := s.Journal.NewRecord()
	record.Body = &recorder.Record_Dispatch{Dispatch: &recorder.Dispatch{Key: key, Digest: digest}}
	ctx, cancel := context.WithTimeout(v.ctx, dispatchTimeout)
	defer cancel()
	if err := s.Journal.Commit(ctx, record); err != nil {
		// The call was not sent and will not be, whether or not the dispatch takes effect.
		s.records.Go(func() { s.release(key, record.ID) })
		return "", journalDown()
	}
	entry := s.Journal.Entry(key)
	if entry == nil || entry.DispatchID != record.ID {
		if entry == nil {
			return "", outcomeUnknown()
		}
		s.answerKnown(v, entry, digest)
		return "", nil
	}
	if v.ctx.Err() != nil {
		s.release(key, record.ID)
		return "", targetFailed(answerer.NotRun)
	}
	v.logger.Info("Dispatch", zap.String("RecordID", record.ID), zap.Uint64("Offset", entry.Offset))
	return record.ID, nil
}

// answerKnown answers a duplicate from the journal.
func (s *Relayer) answerKnown(v *serviceCall, entry *recorder.JournalEntry, digest string) {
	switch result := entry.Result; {
	case entry.Digest != digest:
		s.refuse(v.call, &answerer.Refusal{
			Status: http.StatusUnprocessableEntity, Code: answerer.CodeKeyReused, Run: answerer.NotRun,
			Message: "the idempotency key was used for another call",
		})
	case result == nil:
		s.refuse(v.call, outcomeUnknown())
	case result.Truncated:
		v.w.Header().Set(replayedHeader, "StatusOnly")
		v.w.WriteHeader(int(result.Status))
	default:
		v.w.Header().Set(replayedHeader, "Whole")
		writeReply(v, &reply{status: int(result.Status), contentType: result.ContentType, body: result.Body})
	}
}

func (s *Relayer) failKeyed(v *serviceCall, key, dispatchID string, err error) {
	v.logger.Info("Fail", zap.Error(err))
	if errors.Is(err, ErrNotSent) {
		s.release(key, dispatchID)
		s.refuse(v.call, targetFailed(answerer.NotRun))
		return
	}
	s.refuse(v.call, targetFailed(answerer.Unknown))
}

func (s *Relayer) recordResult(key, dispatchID string, a *reply) {
	result := &recorder.Result{Key: key, DispatchID: dispatchID, Status: int32(a.status), ContentType: a.contentType, Body: a.body}
	if len(a.body) > replayBytes {
		result.Body, result.Truncated = nil, true
	}
	s.commitResult(result, resultTimeout)
}

// release lets a key be dispatched again whose call was never sent.
func (s *Relayer) release(key, dispatchID string) {
	s.commitResult(&recorder.Result{Key: key, DispatchID: dispatchID, Released: true}, dispatchTimeout)
}

func (s *Relayer) commitResult(result *recorder.Result, timeout time.Duration) {
	record := s.Journal.NewRecord()
	record.Body = &recorder.Record_Result{Result: result}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.Journal.Commit(ctx, record); err != nil {
		s.Logger.Info("result not recorded", zap.Error(err))
	}
}

func digestOf(v *serviceCall) string {
	sum := sha256.New()
	sum.Write([]byte(v.r.Method + " " + v.r.URL.RequestURI() + "\n"))
	sum.Write(v.body)
	return hex.EncodeToString(sum.Sum(nil))
}

func journalDown() *answerer.Refusal {
	return &answerer.Refusal{
		Status: http.StatusServiceUnavailable, Code: answerer.CodeJournalDown, Run: answerer.NotRun,
		Message: "the call cannot be recorded now, and is not sent without its record", Return: journalReturn,
	}
}

func inProgress() *answerer.Refusal {
	return &answerer.Refusal{
		Status: http.StatusConflict, Code: answerer.CodeInProgress, Run: answerer.Unknown,
		Message: "a call under this idempotency key is under way", Return: shortReturn,
	}
}

func outcomeUnknown() *answerer.Refusal {
	return &answerer.Refusal{
		Status: http.StatusConflict, Code: answerer.CodeOutcomeOpen, Run: answerer.Unknown,
		Message: "a call under this idempotency key was sent and its outcome is not known", Return: shortReturn,
	}
}
