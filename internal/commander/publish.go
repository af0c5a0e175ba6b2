package commander

import (
	"fmt"
	"net/http"

	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/server"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

type publishCommand struct {
	deferred
	Site      `group:"Site"`
	Operator  `group:"Operator"`
	Inventory string `long:"Inventory" value-name:"FILE" required:"true" description:"inventory of zones, teams and targets"`
	Rules     string `long:"Rules" value-name:"FILE" required:"true" description:"promise, team rules, routes and scalings"`
	Base      int64  `long:"Base" default:"-1" description:"version to replace; any other version in force is a conflict; a negative number replaces the version in force"`

	request server.PublishRequest
}

func (c *publishCommand) validate() error {
	inventory, err := readFile("--Inventory", c.Inventory)
	if err != nil {
		return err
	}
	rules, err := readFile("--Rules", c.Rules)
	if err != nil {
		return err
	}
	if err := checkDocuments(c.Inventory, inventory, c.Rules, rules); err != nil {
		return err
	}
	text := string(rules)
	c.request = server.PublishRequest{Inventory: string(inventory), Rules: &text}
	return validateAll(c.Site.validate, c.Operator.validate)
}

func checkDocuments(inventoryFile string, inventory []byte, rulesFile string, rules []byte) error {
	parsed, inventoryErr := parser.ParseInventory(inventoryFile, inventory)
	if inventoryErr != nil {
		return fmt.Errorf("%w: nothing was published:\n%w", ErrRefused, inventoryErr)
	}
	if _, err := parser.ParseRules(rulesFile, rules, parsed); err != nil {
		return fmt.Errorf("%w: nothing was published:\n%w", ErrRefused, err)
	}
	return nil
}

func (c *publishCommand) run(env *Environment) error {
	c.request.BaseVersion = identifier.Version(c.Base)
	if c.Base < 0 {
		var current server.InventoryResponse
		if err := callOperator(env, &c.Site, &c.Operator, http.MethodGet, "/operator/inventory", nil, &current); err != nil {
			return err
		}
		c.request.BaseVersion = current.Version
	}
	var response server.ChangeResponse
	if err := callOperator(env, &c.Site, &c.Operator, http.MethodPost, "/operator/publish", c.request, &response); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env, response)
	}
	fmt.Fprintf(env.Stdout, "version %d is in force everywhere after %d ms\n", response.Version, response.InForceMilliseconds)
	return nil
}
