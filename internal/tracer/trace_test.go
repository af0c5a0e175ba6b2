package tracer_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/tracer"
)

const logs = `something else
  10.0 front-1 {"Level":"info","Time":"2026-07-01T10:00:00Z","Message":"configuration in force","Instance":"front-1","Version":3}
{"Time":"2026-07-01T10:00:01Z","Message":"target","Instance":"front-1","Target":"i-1","Leaving":false}
{"Time":"2026-07-01T10:00:02Z","Message":"target gone","Instance":"front-1","Target":"i-1"}
{"Time":"2026-07-01T10:00:02Z","Message":"target gone","Instance":"front-2","Target":"i-1"}
{"Time":"2026-07-01T10:00:02Z","Message":"target gone","Instance":"front-1","Target":"i-9"}
{"Time":"2026-07-01T10:00:03.5Z","Message":"target failed","Instance":"front-1","RequestID":"r1","Target":"i-1","Status":0,"After":0.5,"error":"reset by peer"}
{"Time":"2026-07-01T10:00:03.6Z","Message":"request refused","Instance":"front-1","RequestID":"r1","Reason":"TargetFailed","Status":502,"After":0.6}
{"Time":"2026-07-01T10:00:04Z","Message":"request served","Instance":"front-1","RequestID":"r2","After":0.02,"AnswerTarget":"i-2","Status":500}
{"Time":"2026-07-01T10:00:05Z","Message":"request refused","Instance":"front-1","RequestID":"r4","Reason":"NoTarget","Status":503,"After":0.0001}
{"Time":"2026-07-01T10:00:06Z","Message":"prompt part denied, targets crash under it","Instance":"front-1","Part":"ab","Common":["ab"]}
{"Time":"2026-07-01T10:00:07Z","Message":"request refused","Instance":"front-1","RequestID":"r5","Reason":"PromptDenied","Status":503,"After":0.0001}
{"Time":"soon","Message":"x"}
{"broken
`

func TestTrace(t *testing.T) {
	lines, unreadable, err := tracer.Read(strings.NewReader(logs), "all.log")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, unreadable, quicktest.HasLen, 2)
	quicktest.Check(t, strings.HasPrefix(unreadable[1].String(), "all.log:14: "), quicktest.IsTrue, quicktest.Commentf("%v", unreadable[1]))
	tracer.Sort(lines)
	trace, err := tracer.Find(lines, "r1")
	quicktest.Assert(t, err, quicktest.IsNil)
	var out strings.Builder
	quicktest.Assert(t, trace.Write(&out), quicktest.IsNil)
	quicktest.Check(t, out.String(), quicktest.Equals, `request r1 at front-1: answered 502 after 600ms: the connection to a target broke after it had been sent; it may have run
decisions:
    +0.5000s front-1 target failed After=0.5 Status=0 Target=i-1 error="reset by peer"
    +0.6000s front-1 request refused After=0.6 Reason=TargetFailed Status=502
beliefs:
    -3.0000s front-1 configuration in force Version=3
    -1.0000s front-1 target gone Target=i-1
`)
	trace, err = tracer.Find(lines, "r2")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, trace.Cause(), quicktest.Equals, "answered 500 by target i-2 itself")
	trace, err = tracer.Find(lines, "r4")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, trace.StateLines, quicktest.HasLen, 3, quicktest.Commentf("the configuration and the last line of each target"))
	trace, err = tracer.Find(lines, "r5")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, trace.Cause(), quicktest.Equals, "answered 503 after 100µs: targets crash under a part of its prompt, so it was not sent")
	quicktest.Check(t, trace.StateLines[len(trace.StateLines)-1].Text("Part"), quicktest.Equals, "ab")
	_, err = tracer.Find(lines, "r3")
	quicktest.Check(t, errors.Is(err, tracer.ErrUnknownRequest), quicktest.IsTrue)
}
