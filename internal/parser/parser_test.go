package parser_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const site = "../../examples/site/"

func read(t *testing.T, name string) []byte {
	data, err := os.ReadFile(site + name)
	quicktest.Assert(t, err, quicktest.IsNil)
	return data
}

func TestExamplesPass(t *testing.T) {
	for _, name := range []string{"entry-a.ini", "entry-b.ini", "entry-c.ini"} {
		_, err := parser.ParseSettings(name, read(t, name))
		quicktest.Check(t, err, quicktest.IsNil)
	}
	inv, err := parser.ParseInventory("inventory.ini", read(t, "inventory.ini"))
	quicktest.Assert(t, err, quicktest.IsNil)
	_, err = parser.ParseRules("rules.ini", read(t, "rules.ini"), inv)
	quicktest.Check(t, err, quicktest.IsNil)
}

// faults returns "section/key" for each fault in err.
func faults(err error) []string {
	var list parser.Faults
	errors.As(err, &list)
	var names []string
	for _, f := range list {
		names = append(names, f.Section+"/"+f.Key)
	}
	return names
}

func TestEveryFaultInOneRun(t *testing.T) {
	settings := strings.NewReplacer(
		"ID = entry-a", "ID =", "127.0.0.1:18101", "localhost:18101", "BodyBytes = 8388608", "BodyBytes = much",
		"OrderMilliseconds = 1000", "OrderMilliseconds = 5000", "[Limits]", "[Limits]\nColour = red\n[Extra]\nX = 1\n[Limits]",
	).Replace(string(read(t, "entry-a.ini")))
	_, err := parser.ParseSettings("entry-a.ini", []byte(settings))
	quicktest.Check(t, err, quicktest.ErrorIs, parser.ErrInvalid)
	quicktest.Check(t, faults(err), quicktest.ContentEquals,
		[]string{"Instance/ID", "Instance/Listen", "Limits/BodyBytes", "Timing/OrderMilliseconds", "Limits/Colour", "Extra/"})

	_, err = parser.ParseInventory("inventory.ini", []byte("[AvailabilityZone a]\nRegion = r\n[Target t]\nAddress = 1.2.3.4:5\nAvailabilityZone = b\nRole = Cook\nSlots = 0\n"))
	quicktest.Check(t, faults(err), quicktest.ContentEquals, []string{"Target t/AvailabilityZone", "Target t/Role", "Target t/Slots", "Target t/Model"})

	inv, err := parser.ParseInventory("inventory.ini", read(t, "inventory.ini"))
	quicktest.Assert(t, err, quicktest.IsNil)
	_, err = parser.ParseRules("rules.ini", []byte("[Team nobody]\nPriority = 0\n[Route x]\nService = none\nTeams = tabline, other\n[Scaling m]\n"), inv)
	quicktest.Check(t, faults(err), quicktest.ContentEquals,
		[]string{"Team nobody/", "Team nobody/Priority", "Route x/", "Route x/Service", "Route x/Teams", "Scaling m/"})
}

// TestHashOfEmptyOperatorKey guards against settings that let anybody run the operators' commands.
func TestHashOfEmptyOperatorKey(t *testing.T) {
	for _, hash := range []string{"", string(identifier.HashKey("")), strings.ToUpper(string(identifier.HashKey("")))} {
		text := regexp.MustCompile(`(?m)^OperatorKeyHash = .*$`).ReplaceAllString(string(read(t, "entry-a.ini")), "OperatorKeyHash = "+hash)
		_, err := parser.ParseSettings("entry-a.ini", []byte(text))
		quicktest.Check(t, faults(err), quicktest.DeepEquals, []string{"Instance/OperatorKeyHash"}, quicktest.Commentf("%q", hash))
	}
}

// TestEmptyListIsNotNoRestriction guards against a route that is open to all teams, and a team that may use all shared targets, once the last
// entry of the list has been removed.
func TestEmptyListIsNotNoRestriction(t *testing.T) {
	inv, err := parser.ParseInventory("inventory.ini", read(t, "inventory.ini"))
	quicktest.Assert(t, err, quicktest.IsNil)
	service := "[Route /x]\nService = settlement\n"
	for text, want := range map[string][]string{
		service: nil, service + "Teams = tabline\n": nil, service + "Teams =\n": {"Route /x/Teams"}, service + "Teams = , \n": {"Route /x/Teams"},
		"[Team tabline]\n": nil, "[Team tabline]\nTargets =\n": {"Team tabline/Targets"},
	} {
		_, err := parser.ParseRules("rules.ini", []byte(text), inv)
		quicktest.Check(t, faults(err), quicktest.ContentEquals, want, quicktest.Commentf(text))
	}
}

// FuzzParse checks that no input makes a parser panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[Target t]\nAddress = 1.2.3.4:5\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		parser.ParseSettings("f", data)
		inv, _ := parser.ParseInventory("f", data)
		parser.ParseRules("f", data, inv)
	})
}
