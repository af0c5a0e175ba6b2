package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/coltsfootscale/coltsfootscale/internal/imitator"
)

const stopTimeout = time.Minute

type options struct {
	Platform platformCommand `command:"platform" description:"run a stand-in for the platform"`
	Engine   engineCommand   `command:"engine" description:"run a stand-in for a model engine"`
	Service  serviceCommand  `command:"service" description:"run a stand-in for a plain service"`
	Get      getCommand      `command:"get" description:"send a GET request to a stand-in and print the response"`
	Post     postCommand     `command:"post" description:"send a POST request to a stand-in, such as faults or an instance list"`
}

type platformCommand struct {
	Listen    string        `long:"Listen" required:"true"`
	Retention int           `long:"Retention" description:"records kept per stream; 0 keeps all"`
	Report    time.Duration `long:"ReportTimeout" description:"maximum time between two new usage windows"`
	ListLag   time.Duration `long:"ListLag" description:"lag of the instance list"`
}

// Execute serves until SIGTERM.
func (c *platformCommand) Execute([]string) error {
	p := &imitator.Platform{Retention: c.Retention, ReportTimeout: c.Report, ListLag: c.ListLag}
	return serve(c.Listen, p.Handler(), nil)
}

type engineCommand struct {
	Listen           string        `long:"Listen" required:"true"`
	Model            string        `long:"Model" required:"true"`
	PrefillPerSecond float64       `long:"PrefillPerSecond" default:"20000"`
	DecodePerSecond  float64       `long:"DecodePerSecond" default:"40"`
	Slots            int           `long:"Slots" default:"32"`
	CacheParts       int           `long:"CachePieces" default:"64"`
	LoadLag          time.Duration `long:"LoadLag" default:"500ms"`
	ChangeTime       time.Duration `long:"ChangeTime" default:"3s"`
	ChecksFence      bool          `long:"ChecksFence"`
}

// Execute serves until SIGTERM.
func (c *engineCommand) Execute([]string) error {
	e := &imitator.Engine{
		Model: c.Model, PrefillPerSecond: c.PrefillPerSecond, DecodePerSecond: c.DecodePerSecond, Slots: c.Slots,
		CacheParts: c.CacheParts, LoadLag: c.LoadLag, ChangeTime: c.ChangeTime, ChecksFence: c.ChecksFence,
	}
	return serve(c.Listen, e.Handler(), e.Leave)
}

type serviceCommand struct {
	Listen  string        `long:"Listen" required:"true"`
	Latency time.Duration `long:"Latency" default:"5ms"`
}

// Execute serves until SIGTERM.
func (c *serviceCommand) Execute([]string) error {
	s := &imitator.Service{Latency: c.Latency}
	return serve(c.Listen, s.Handler(), nil)
}

type getCommand struct {
	Positional struct {
		URL string `positional-arg-name:"URL" required:"true"`
	} `positional-args:"true"`
}

// Execute sends a GET request and prints the response.
func (c *getCommand) Execute([]string) error {
	resp, err := http.Get(c.Positional.URL)
	return printResponse(resp, err)
}

type postCommand struct {
	Positional struct {
		URL  string `positional-arg-name:"URL" required:"true"`
		Body string `positional-arg-name:"BODY"`
	} `positional-args:"true"`
}

// Execute sends the body in a POST request and prints the response.
func (c *postCommand) Execute([]string) error {
	resp, err := http.Post(c.Positional.URL, "application/json", strings.NewReader(c.Positional.Body))
	return printResponse(resp, err)
}

func printResponse(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

// serve handles requests until SIGTERM or an interrupt, then finishes the requests in progress.
func serve(addr string, h http.Handler, leave func()) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	srv := &http.Server{Addr: addr, Handler: h}
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		if leave != nil {
			leave()
			// Gives entry instances time to read the leaving state before the listener closes.
			time.Sleep(time.Second)
		}
		stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		done <- srv.Shutdown(stop)
	}()
	if err := srv.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return <-done
}

func main() {
	if _, err := flags.Parse(&options{}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
