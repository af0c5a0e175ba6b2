package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// steadyTime is how long the instances have run when the streams begin. In the first minute they assume that streams are older.
	steadyTime = 63 * time.Second
	// oldReviews is the number of streams, of which half are reset. oldParts is the number of events that come before that.
	oldReviews = 80
	oldParts   = 10
	// firstTakeUp is the age of a stream at which the first consumer goes on; the others follow within takeUpSpan.
	firstTakeUp = 5250 * time.Millisecond
	takeUpSpan  = 350 * time.Millisecond
)

// oldStream lets consumers go on with their streams near the end of their time budget, which is longer than the route's timeout. The workers
// of the version at which half of the streams began have left meanwhile.
func oldStream(s *site) (bool, error) {
	for _, w := range s.workers {
		w.eventGap = 40 * time.Millisecond
	}
	time.Sleep(steadyTime)
	var group sync.WaitGroup
	list := make([]review, oldReviews)
	for i := range list {
		list[i].name = fmt.Sprintf("review-%d", i)
		group.Add(1)
		go func() {
			defer group.Done()
			if i%2 == 1 {
				s.read(&list[i], s.instances[0].listen, streamEvents)
				return
			}
			s.read(&list[i], s.instances[0].listen, oldParts)
			time.Sleep(time.Until(list[i].began.Add(firstTakeUp + takeUpSpan*time.Duration(i)/oldReviews)))
			s.goOn(&list[i], s.instances[1].listen, 4)
		}()
	}
	time.Sleep(30 * time.Millisecond)
	if s.trouble {
		for _, w := range s.workers {
			if w.version == "v1" {
				w.unlisted.Store(true)
				s.store.put("keyed.servers", w.id, "")
				s.rec.logf("the entry of worker %s of version %s is removed; the worker still serves", w.id, w.version)
			}
		}
	}
	group.Wait()
	return s.joined(list) > 0, nil
}
