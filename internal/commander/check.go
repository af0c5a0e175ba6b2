package commander

import (
	"errors"
	"fmt"

	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

type checkCommand struct {
	deferred
	Settings      []string `long:"Settings" value-name:"FILE" description:"settings for the serve command; may be given several times"`
	EntrySettings []string `long:"EntrySettings" value-name:"FILE" description:"settings for the entry command; may be given several times"`
	Inventory     string   `long:"Inventory" value-name:"FILE" description:"inventory of zones, teams and targets"`
	Rules         string   `long:"Rules" value-name:"FILE" description:"rules, checked against the file of --Inventory"`
	JSON          bool     `long:"Json" description:"print JSON"`
}

func (c *checkCommand) validate() error {
	if len(c.Settings) == 0 && len(c.EntrySettings) == 0 && c.Inventory == "" && c.Rules == "" {
		return fmt.Errorf("%w: nothing to check: give --Settings, --EntrySettings, --Inventory or --Rules", ErrUsage)
	}
	return nil
}

func (c *checkCommand) run(env *Environment) error {
	faults, err := c.check()
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(env, struct{ Faults parser.Faults }{faults}); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Fprintln(env.Stdout, f)
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%w: %d faults", ErrRefused, len(faults))
	}
	return nil
}

// check returns the faults of all files.
func (c *checkCommand) check() (parser.Faults, error) {
	faults := parser.Faults{}
	for _, file := range c.Settings {
		data, err := readFile("--Settings", file)
		if err != nil {
			return nil, err
		}
		_, err = parser.ParseSettings(file, data)
		faults = append(faults, faultsOf(err)...)
	}
	for _, file := range c.EntrySettings {
		data, err := readFile("--EntrySettings", file)
		if err != nil {
			return nil, err
		}
		_, err = parser.ParseEntrySettings(file, data)
		faults = append(faults, faultsOf(err)...)
	}
	var inventory *recorder.Inventory
	if c.Inventory != "" {
		data, err := readFile("--Inventory", c.Inventory)
		if err != nil {
			return nil, err
		}
		inventory, err = parser.ParseInventory(c.Inventory, data)
		faults = append(faults, faultsOf(err)...)
	}
	if c.Rules != "" {
		data, err := readFile("--Rules", c.Rules)
		if err != nil {
			return nil, err
		}
		_, err = parser.ParseRules(c.Rules, data, inventory)
		faults = append(faults, faultsOf(err)...)
	}
	return faults, nil
}

func faultsOf(err error) parser.Faults {
	var faults parser.Faults
	errors.As(err, &faults)
	return faults
}
