package commander

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/runner"
	"github.com/coltsfootscale/coltsfootscale/internal/server"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
)

type operatorQuery struct {
	deferred
	Site     `group:"Site"`
	Operator `group:"Operator"`
}

func (q *operatorQuery) validate() error { return validateAll(q.Site.validate, q.Operator.validate) }

func (q *operatorQuery) get(env *Environment, path string, out any) error {
	return callOperator(env, &q.Site, &q.Operator, http.MethodGet, path, nil, out)
}

type statusQuery struct{ operatorQuery }

func (q *statusQuery) run(env *Environment) error {
	var s runner.Status
	if err := q.get(env, "/operator/status", &s); err != nil {
		return err
	}
	if q.JSON {
		return printJSON(env, s)
	}
	fmt.Fprintf(env.Stdout, "instance %s in %s: serving %t, leaving %t, version %d, log reachable %t, fresh %s ago\n",
		s.Instance, s.Zone, s.Serving, s.Leaving, s.Version, s.LogReachable, s.FreshAge)
	fmt.Fprintf(env.Stdout, "lease held by %s under fencing number %d\n", s.LeaseHolder, s.Fence)
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[id]
		fmt.Fprintf(env.Stdout, "member %s at %s in %s, leaving %t\n", id, m.Address, m.Zone, m.Leaving)
	}
	for _, o := range s.Orders {
		fmt.Fprintf(env.Stdout, "order %s: %s %s to %s: %s\n", o.ID, o.Kind, o.Role, o.Target, o.Status)
	}
	return nil
}

type inventoryQuery struct{ operatorQuery }

func (q *inventoryQuery) run(env *Environment) error {
	var a server.InventoryResponse
	if err := q.get(env, "/operator/inventory", &a); err != nil {
		return err
	}
	if q.JSON {
		return printJSON(env, a)
	}
	fmt.Fprintf(env.Stdout, "version %d\n", a.Version)
	for _, t := range a.Inventory.GetTargets() {
		fmt.Fprintf(env.Stdout, "target %s: %s at %s in %s, %s%s %s, checks fence %t, cheap %t\n",
			t.ID, t.Kind, t.Address, t.Zone, t.Model, t.Service, t.Role, t.ChecksFence, t.Cheap)
	}
	for _, t := range a.Inventory.GetTeams() {
		fmt.Fprintf(env.Stdout, "team %s\n", t.ID)
	}
	for _, id := range slices.Sorted(maps.Keys(a.Keys)) {
		fmt.Fprintf(env.Stdout, "key %s of team %s\n", id, a.Keys[id])
	}
	return nil
}

type usageQuery struct{ operatorQuery }

func (q *usageQuery) run(env *Environment) error {
	var a runner.UsageResponse
	if err := q.get(env, "/operator/usage", &a); err != nil {
		return err
	}
	if q.JSON {
		return printJSON(env, a)
	}
	fmt.Fprintf(env.Stdout, "window %d is open\n", a.Window)
	for _, u := range a.Teams {
		fmt.Fprintf(env.Stdout, "team %s: %d requests, %d refused, %d cut, %d prompt tokens, %d output tokens\n",
			u.Team, u.Requests, u.Refused, u.Cut, u.PromptTokens, u.OutputTokens)
	}
	fmt.Fprintf(env.Stdout, "%d closed windows are not yet reported\n", len(a.Unreported))
	return nil
}

type explainQuery struct {
	operatorQuery
	Positional struct {
		RequestID string `positional-arg-name:"REQUEST-ID" required:"true"`
	} `positional-args:"true"`
}

// run queries the entry instances one by one, because only the one that served the request keeps its decisions.
func (q *explainQuery) run(env *Environment) error {
	var response struct{ Decisions []string }
	lastErr := fmt.Errorf("%w: no entry instance has a decision for the request", ErrRefused)
	for _, entry := range q.Entries {
		site := q.Site
		site.Entries = []string{entry}
		err := callOperator(env, &site, &q.Operator, http.MethodGet, "/operator/explain/"+url.PathEscape(q.Positional.RequestID), nil, &response)
		if err == nil {
			for _, line := range response.Decisions {
				fmt.Fprint(env.Stdout, line)
			}
			return nil
		}
		if !errors.Is(err, ErrRefused) {
			lastErr = err
		}
	}
	return lastErr
}

type addressesQuery struct {
	deferred
	Site `group:"Site"`
	Zone string `long:"AvailabilityZone" description:"the caller's availability zone"`
}

func (q *addressesQuery) run(env *Environment) error {
	var a caller.Addresses
	path := "/addresses?" + url.Values{"AvailabilityZone": {q.Zone}}.Encode()
	if err := callOperator(env, &q.Site, &Operator{}, http.MethodGet, path, nil, &a); err != nil {
		return err
	}
	if q.JSON {
		return printJSON(env, a)
	}
	for _, address := range a.Addresses {
		fmt.Fprintf(env.Stdout, "%s in %s (%s)\n", address.Address, address.Zone, address.Instance)
	}
	return nil
}
