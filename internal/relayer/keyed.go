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

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
)

// A call with an idempotency key has two records in the journal: the dispatch, committed before the first byte is
// sent to the target, and the result, committed after the answer. The first dispatch of a key in log order wins,
// and only its writer sends the call, once.

// inFlightKeys is the set of keys that this instance is serving. The zero value is an empty set.
type inFlightKeys struct {
	mu   sync.Mutex
	keys map[string]bool
}

// add reports whether the key was absent and has been added.
func (f *inFlightKeys) add(key string) bool {
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

func (f *inFlightKeys) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.keys, key)
}

// serveKeyed serves a call that is not repeatable and has an idempotency key.
func (s *Relayer) serveKeyed(v *serviceCall) {
	key := string(v.team) + "/" + v.key()
	digest := requestDigest(v)
	if !s.Journal.Ready() {
		s.refuse(v.call, journalUnavailable())
		return
	}
	if !s.inFlight.add(key) {
		s.refuse(v.call, inProgress())
		return
	}
	defer s.inFlight.remove(key)
	if entry := s.Journal.Entry(key); entry != nil {
		s.replyFromJournal(v, entry, digest)
		return
	}
	assignment, refusal := s.routeService(v, 1)
	if refusal != nil {
		s.refuse(v.call, refusal)
		return
	}
	dispatchID, refusal := s.dispatch(v, key, digest)
	if dispatchID == "" {
		s.Tracker.Release(tracker.Plan{Answer: assignment})
		if refusal != nil {
			s.refuse(v.call, refusal)
		}
		return
	}
	winner := s.Journal.Entry(key)
	asserter.That(winner != nil && winner.DispatchID == dispatchID && winner.Result == nil, asserter.WinnerSends, "key %s", key)
	answer, err := s.send(v, assignment)
	s.Tracker.Finish(assignment, err != nil)
	if err != nil {
		s.failKeyed(v, key, dispatchID, err)
		return
	}
	s.records.Go(func() { s.recordResult(key, dispatchID, answer) })
	s.answer(v, answer)
}

// dispatch records that this instance will send the call. It returns the ID of the record if the call may be sent.
// Otherwise the ID is empty, and either a refusal is returned or the caller has been answered from the journal.
func (s *Relayer) dispatch(v *serviceCall, key, digest string) (string, *refuser.Refusal) {
	record := s.Journal.NewRecord()
	record.Body = &recorder.Record_Dispatch{Dispatch: &recorder.Dispatch{Key: key, Digest: digest}}
	ctx, cancel := context.WithTimeout(v.ctx, dispatchTimeout)
	defer cancel()
	if err := s.Journal.Commit(ctx, record); err != nil {
		// The dispatch may still take effect, but this instance will not send the call: release the key.
		s.records.Go(func() { s.releaseKey(key, record.ID) })
		return "", journalUnavailable()
	}
	entry := s.Journal.Entry(key)
	if entry == nil || entry.DispatchID != record.ID {
		if entry == nil {
			return "", outcomeUnknown()
		}
		s.replyFromJournal(v, entry, digest)
		return "", nil
	}
	if v.ctx.Err() != nil {
		s.releaseKey(key, record.ID)
		return "", targetFailed(refuser.NotRun)
	}
	v.logger.Info("Dispatch", zap.String("RecordID", record.ID), zap.Uint64("Offset", entry.Offset))
	return record.ID, nil
}

// replyFromJournal answers a duplicate call from its journal entry.
func (s *Relayer) replyFromJournal(v *serviceCall, entry *recorder.JournalEntry, digest string) {
	switch result := entry.Result; {
	case entry.Digest != digest:
		s.refuse(v.call, &refuser.Refusal{
			Status: http.StatusUnprocessableEntity, Code: refuser.CodeIdempotencyKeyReused, Run: refuser.NotRun,
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

// failKeyed refuses a call whose send failed, and releases its key if the target cannot have run it.
func (s *Relayer) failKeyed(v *serviceCall, key, dispatchID string, err error) {
	v.logger.Info("Fail", zap.Error(err))
	if errors.Is(err, ErrNotSent) {
		s.releaseKey(key, dispatchID)
		s.refuse(v.call, targetFailed(refuser.NotRun))
		return
	}
	s.refuse(v.call, targetFailed(refuser.Unknown))
}

func (s *Relayer) recordResult(key, dispatchID string, a *reply) {
	result := &recorder.Result{Key: key, DispatchID: dispatchID, Status: int32(a.status), ContentType: a.contentType, Body: a.body}
	if len(a.body) > maximumReplayBytes {
		result.Body, result.Truncated = nil, true
	}
	s.commitResult(result, resultTimeout)
}

// releaseKey allows a new dispatch of a key whose call was never sent.
func (s *Relayer) releaseKey(key, dispatchID string) {
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

// requestDigest returns a hash of the method, URI and body, which detects a key that is used for a different call.
func requestDigest(v *serviceCall) string {
	sum := sha256.New()
	sum.Write([]byte(v.r.Method + " " + v.r.URL.RequestURI() + "\n"))
	sum.Write(v.body)
	return hex.EncodeToString(sum.Sum(nil))
}

func journalUnavailable() *refuser.Refusal {
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Code: refuser.CodeJournalUnavailable, Run: refuser.NotRun,
		Message: "the call cannot be recorded now, and is not sent without its record", RetryAfter: journalRetryAfter,
	}
}

func inProgress() *refuser.Refusal {
	return &refuser.Refusal{
		Status: http.StatusConflict, Code: refuser.CodeInProgress, Run: refuser.Unknown,
		Message: "a call under this idempotency key is under way", RetryAfter: shortRetryAfter,
	}
}

func outcomeUnknown() *refuser.Refusal {
	return &refuser.Refusal{
		Status: http.StatusConflict, Code: refuser.CodeOutcomeUnknown, Run: refuser.Unknown,
		Message: "a call under this idempotency key was sent and its outcome is not known", RetryAfter: shortRetryAfter,
	}
}
