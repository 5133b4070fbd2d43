// Command eiderwinch is a gatherer: it takes queries from clients, sends their
// parts to searchers and answers the clients. Without a sub-command it serves.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1 // the command failed, for example because serving failed or a demo query got no whole answer
	exitConfig  = 2 // the configuration or the command line is invalid
)

// exitError is an error that carries the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// commandLine lists the sub-commands. Kong derives their names from the field names.
type commandLine struct {
	Serve      serveCommand       `cmd:"" default:"1" help:"Run a gatherer, configured by the environment and the file that LB_CONFIG names."`
	Demo       demoCommand        `cmd:"" help:"Start a whole deployment on loopback, ask it queries of all classes and print the answers."`
	Check      checkCommand       `cmd:"" help:"Check a configuration file and report what is wrong with it."`
	Layout     layoutCommands     `cmd:"" help:"Inspect and change layouts, which say what segments there are and who holds them."`
	Coordinate coordinateCommand  `cmd:"" help:"Run the layout coordinator that an operators' file configures."`
	Config     configCommands     `cmd:"" help:"Inspect operators' files, and change the configuration of a running gatherer."`
	Fleet      fleetCommands      `cmd:"" help:"Ask a running gatherer how it sees its fleet."`
	Load       loadCommand        `cmd:"" help:"Send queries to a gatherer at random times, without waiting for earlier answers, and print latency percentiles by class."`
	Experiment experimentCommands `cmd:"" help:"Run deployments in virtual time, at sizes beyond what sockets allow."`
	Version    versionCommand     `cmd:"" help:"Print the version, and what the program was built from."`
}

// environment holds the process state that a command may use; tests replace it.
type environment struct {
	getenv         func(string) string
	stdout, stderr io.Writer
	signals        <-chan os.Signal // SIGTERM and SIGINT, which end the process
	reloads        <-chan os.Signal // SIGHUP
	reports        <-chan os.Signal // SIGUSR1
	stdin          io.Reader
}

// untilSignal returns a context that is cancelled by the first signal that ends or reloads the process, or by stop.
func (e environment) untilSignal() (ctx context.Context, stop context.CancelFunc) {
	ctx, stop = context.WithCancel(context.Background())
	go func() {
		select {
		case <-e.signals:
			stop()
		case <-e.reloads:
			stop()
		case <-ctx.Done():
		}
	}()
	return ctx, stop
}

func main() {
	// The channels are set up first, because a SIGHUP that is not caught would end the process.
	e := environment{
		getenv: os.Getenv, stdout: os.Stdout, stderr: os.Stderr, stdin: os.Stdin,
		signals: signalChannel(syscall.SIGTERM, syscall.SIGINT), reloads: signalChannel(syscall.SIGHUP), reports: signalChannel(syscall.SIGUSR1),
	}
	os.Exit(run(os.Args[1:], e))
}

// signalChannel returns a channel for signals that have the same effect. It buffers one signal, because handling that
// one also handles those that arrive meanwhile. Signals with other effects have separate channels, so that they can't
// fill this one, however many arrive.
func signalChannel(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// newParser returns a parser that fills c from the command line and calls exit after printing help.
func newParser(c *commandLine, e environment, exit func(int)) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("eiderwinch"),
		kong.Description("A gatherer of queries over a catalogue that is split among searchers."),
		kong.Writers(e.stdout, e.stderr),
		kong.Exit(exit),
		kong.Bind(e),
	)
}

// parserExit is the panic value that replaces the parser's exit after --help, so that run can return the code.
type parserExit struct{ code int }

// run executes one command line and returns the exit code.
func run(args []string, e environment) (code int) {
	defer func() {
		if recovered := recover(); recovered != nil {
			exit, ok := recovered.(parserExit)
			if !ok {
				panic(recovered)
			}
			code = exit.code
		}
	}()
	var c commandLine
	parser, err := newParser(&c, e, func(code int) { panic(parserExit{code}) })
	if err != nil {
		panic(err) // only if the tags of commandLine are invalid
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(e.stderr, "eiderwinch: %v; see eiderwinch --help\n", err)
		return exitConfig
	}
	if err := command.Run(e); err != nil {
		fmt.Fprintln(e.stderr, "eiderwinch:", err)
		var coded *exitError
		if errors.As(err, &coded) {
			return coded.code
		}
		return exitFailure
	}
	return exitOK
}
