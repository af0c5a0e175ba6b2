package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// longBudget is the consumers' time budget, and the timeout of the route until it is shortened to shortTimeout.
	longBudget   = 20 * time.Second
	shortTimeout = 4 * time.Second
	// shortenAt and killAt are the ages of the streams when the timeout is shortened and when all instances are killed. These start again
	// after downTime.
	shortenAt = time.Second
	killAt    = 4 * time.Second
	downTime  = time.Second
	// longReviews is the number of streams.
	longReviews = 20
	// lateTakeUp is the age of a stream at which its consumer goes on.
	lateTakeUp = 16 * time.Second
)

// shortened lets consumers go on with streams that began under a long timeout, which was shortened just before all instances were killed. The
// workers of the version at which half of the streams began have left meanwhile.
func shortened(s *site) (bool, error) {
	for _, w := range s.workers {
		w.eventGap = 400 * time.Millisecond
	}
	time.Sleep(sightingTime)
	var group sync.WaitGroup
	list := make([]review, longReviews)
	for i := range list {
		list[i].name, list[i].budget = fmt.Sprintf("review-%d", i), longBudget
		group.Add(1)
		go func() {
			defer group.Done()
			// The channel breaks when the instances are killed.
			s.read(&list[i], s.instances[i%2].listen, streamEvents)
			if list[i].complete {
				return
			}
			time.Sleep(time.Until(list[i].began.Add(lateTakeUp)))
			s.goOn(&list[i], s.instances[i%2].listen, 6)
		}()
	}
	time.Sleep(50 * time.Millisecond)
	for _, w := range s.workers {
		if w.version == "v1" {
			w.unlisted.Store(true)
			s.store.put("keyed.servers", w.id, "")
			s.rec.logf("the entry of worker %s of version %s is removed; the worker still serves", w.id, w.version)
		}
	}
	time.Sleep(shortenAt)
	s.store.put("keyed.op", "config", config(9, "pool-a", shortTimeout))
	s.rec.logf("a config shortens the timeout of the streams to %v", shortTimeout)
	if s.trouble {
		time.Sleep(killAt - shortenAt)
		for _, in := range s.instances {
			in.kill()
		}
		s.rec.logf("all instances are killed")
		time.Sleep(downTime)
		for _, in := range s.instances {
			if err := in.startAgain(); err != nil {
				return false, err
			}
			s.rec.logf("%s is process %d", in.name, in.cmd.Process.Pid)
		}
		s.rec.logf("they start again")
	}
	group.Wait()
	return s.joined(list) > 0, nil
}
