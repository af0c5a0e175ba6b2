package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
)

// Environment holds the output streams, the HTTP client and the stop signal of a command. If HTTP is nil, Run sets it.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	HTTP   *http.Client
	// Stop is canceled when the process is asked to stop.
	Stop context.Context
}

// Site holds the flags of a command that calls entry instances.
type Site struct {
	Entries []string      `long:"Entry" value-name:"URL" required:"true" description:"URL of an entry instance, such as http://127.0.0.1:8101; may be given several times"`
	Timeout time.Duration `long:"Timeout" default:"15s" description:"time limit of a request including its response; for load, of the whole run"`
	JSON    bool          `long:"Json" description:"print JSON; no effect on call and explain"`
}

// Operator holds the flag for the operators' key.
type Operator struct {
	KeyFile string `long:"OperatorKeyFile" value-name:"FILE" required:"true" description:"file with the operators' key"`

	key string
}

// Options holds all commands with their flags.
type Options struct {
	Serve     serveCommand   `command:"serve" description:"run an entry instance"`
	Entry     entryCommand   `command:"entry" description:"run an entry instance on the users' machines"`
	Publish   publishCommand `command:"publish" description:"put an inventory and rules in force"`
	Key       keyCommands    `command:"key" description:"grant or withdraw keys"`
	Status    statusQuery    `command:"status" description:"show the state of an entry instance, the members, the lease and the orders"`
	Inventory inventoryQuery `command:"inventory" description:"show the inventory and rules in force"`
	Usage     usageQuery     `command:"usage" description:"show the usage that is not yet reported to the platform"`
	Explain   explainQuery   `command:"explain" description:"show the decisions made for a request"`
	Trace     traceQuery     `command:"trace" description:"show from logs how a request was handled and why it ended as it did"`
	Addresses addressesQuery `command:"addresses" description:"show the addresses that callers get"`
	Check     checkCommand   `command:"check" description:"check settings, inventory and rules offline"`
	Version   versionQuery   `command:"version" description:"print the version, the commit and the Go version"`
	Hash      hashCommand    `command:"hash" description:"print the hash of a key for OperatorKeyHash"`
	Ask       askCommand     `command:"ask" description:"send one chat completion and print the answer"`
	Call      callCommand    `command:"call" description:"send one call to a plain service and print the answer"`
	Load      loadCommand    `command:"load" description:"send a bounded number of requests with a varying prompt-to-output ratio"`
}

type keyCommands struct {
	Grant    grantCommand    `command:"grant" description:"create a key for a team and print it"`
	Withdraw withdrawCommand `command:"withdraw" description:"withdraw a key"`
}

// command is a parsed command; run is called only after validate has checked all arguments and files.
type command interface {
	validate() error
	run(env *Environment) error
}

// Run parses the arguments, validates them, runs the command and returns the exit code.
func Run(args []string, env *Environment) int {
	options := &Options{}
	parser := flags.NewNamedParser("coltsfootscale", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return exitCode(err, env.Stderr)
	}
	setHelp(parser)
	var selected command
	parser.CommandHandler = func(c flags.Commander, _ []string) error {
		if c != nil {
			selected = c.(command)
		}
		return nil
	}
	_, err := parser.ParseArgs(args)
	var helpErr *flags.Error
	if errors.As(err, &helpErr) && helpErr.Type == flags.ErrHelp {
		fmt.Fprintln(env.Stdout, helpErr.Message)
		return ExitDone
	}
	if err != nil {
		return exitCode(fmt.Errorf("%w: %w", ErrUsage, err), env.Stderr)
	}
	if env.HTTP == nil {
		env.HTTP = networker.Client(networker.TCP{}, true)
	}
	if err := selected.validate(); err != nil {
		return exitCode(err, env.Stderr)
	}
	return exitCode(selected.run(env), env.Stderr)
}

// deferred provides the Execute method that go-flags requires of a command; Run calls the command's run method instead,
// after all arguments were validated.
type deferred struct{}

// Execute implements flags.Commander and does nothing.
func (deferred) Execute([]string) error { return nil }

func (s *Site) validate() error {
	for _, entry := range s.Entries {
		u, err := url.Parse(entry)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("%w: --Entry %q: allowed: http://HOST:PORT", ErrUsage, entry)
		}
	}
	if s.Timeout <= 0 {
		return fmt.Errorf("%w: --Timeout %s: allowed: more than 0", ErrUsage, s.Timeout)
	}
	return nil
}

func (o *Operator) validate() error {
	data, err := os.ReadFile(o.KeyFile)
	if err != nil {
		return fmt.Errorf("%w: --OperatorKeyFile: %w", ErrUsage, err)
	}
	o.key = strings.TrimSpace(string(data))
	if o.key == "" {
		return fmt.Errorf("%w: --OperatorKeyFile %s is empty", ErrUsage, o.KeyFile)
	}
	return nil
}

func validateAll(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func readFile(flag, path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUsage, flag, err)
	}
	return data, nil
}
