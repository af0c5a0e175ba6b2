package main

import (
	"net/http"
	"time"
)

// settleTime is longer than config_apply_ms, so that a confirmed version is in force.
const settleTime = 4 * time.Second

// runTenants withdraws the only tenant while its client is connected, and sends requests with the withdrawn key and with one that no
// configuration ever held.
func runTenants(s *site) (broken bool, err error) {
	const held, withdrawn, never = "key-held-0001", "key-held-0002", "key-never-held"
	first := []any{tenant("team-a", held, withdrawn)}
	s.store.put("keyed.op", "config", config(3, first))
	s.log("operator writes version 3: tenants %v", first)
	wk, err := s.addWorker("core", "i-core-1")
	if err != nil {
		return false, err
	}
	a, b := s.addEntry("front-1", 1), s.addEntry("front-2", 2)
	for _, e := range []*entry{a, b} {
		if err := e.start(); err != nil {
			return false, err
		}
	}
	for _, e := range []*entry{a, b} {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	client := newClient()
	ask := func(e *entry, key string) (ran bool, status int) {
		answer := get(client, e, "/balance/1", key)
		runs := wk.ran(answer.id)
		s.log("%s to %s with key %q: answer %v, runs at the worker %v", answer.id, e.name, key, answer, runs)
		return len(runs) > 0, answer.status
	}
	for _, e := range []*entry{a, b} {
		if _, status := ask(e, withdrawn); status != http.StatusOK {
			return false, errNotReady
		}
		if ran, _ := ask(e, never); ran {
			broken = true
		}
	}
	second := []any{tenant("team-a", held)}
	if s.trouble {
		second = []any{}
	}
	s.store.put("keyed.op", "config", config(5, second))
	s.log("operator writes version 5, which is confirmed: tenants %v", second)
	time.Sleep(settleTime)
	for range 3 {
		for _, e := range []*entry{a, b} {
			for _, key := range []string{withdrawn, never, ""} {
				if ran, _ := ask(e, key); ran {
					broken = true
				}
			}
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}
