// Command eiderwinch is a gatherer: it takes queries from clients, sends their
// parts to searchers and answers. Without a sub-command it serves.
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
	exitOK     = 0
	exitServe  = 1 // it could not serve, or not all of a demo was answered
	exitConfig = 2 // the configuration or the command line is at fault
)

// exitError is an error with the code that the process ends with.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// commands is the command line.
type commands struct {
	Serve      serveCommand       `cmd:"" default:"1" help:"Serve as the environment and the file that LB_CONFIG names say."`
	Demo       demoCommand        `cmd:"" help:"Start a whole deployment on loopback, ask it queries of all classes and print the answers."`
	Check      checkCommand       `cmd:"" help:"Check a configuration file and say what is wrong with it."`
	Layout     layoutCommands     `cmd:"" help:"Look into layouts and change them: which segments there are and who holds them."`
	Coordinate coordinateCommand  `cmd:"" help:"Run the coordinator of layouts that the operators' file names."`
	Config     configCommands     `cmd:"" help:"Look into the operators' file, and change the configuration of a running gatherer."`
	Fleet      fleetCommands      `cmd:"" help:"Ask a running gatherer how it sees its fleet."`
	Load       loadCommand        `cmd:"" help:"Ask a gatherer queries at random times, whether answers come or not, and print percentiles by class."`
	Experiment experimentCommands `cmd:"" help:"Play deployments in virtual time, at sizes that sockets do not reach."`
	Version    versionCommand     `cmd:"" help:"Print the version, and what the program was built from."`
}

// environment is what a command may use of the world.
type environment struct {
	getenv         func(string) string
	stdout, stderr io.Writer
	signals        <-chan os.Signal // that end the process
	reloads        <-chan os.Signal // SIGHUP
	reports        <-chan os.Signal // SIGUSR1
	stdin          io.Reader
}

// untilSignal returns a context that ends at the first signal, or when stop is called.
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
	// Before all else: until then SIGHUP would end the process.
	e := environment{
		getenv: os.Getenv, stdout: os.Stdout, stderr: os.Stderr, stdin: os.Stdin,
		signals: catch(syscall.SIGTERM, syscall.SIGINT), reloads: catch(syscall.SIGHUP), reports: catch(syscall.SIGUSR1),
	}
	os.Exit(run(os.Args[1:], e))
}

// catch returns a channel of its own for signals that mean one thing. One that waits there stands
// for all that come behind it, and those of other kinds, however many, take no place from it.
func catch(kind ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, kind...)
	return c
}

// newParser returns the parser of the command line, which fills c.
func newParser(c *commands, e environment, exit func(int)) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("eiderwinch"),
		kong.Description("A gatherer for a catalogue that is split over searchers."),
		kong.Writers(e.stdout, e.stderr),
		kong.Exit(exit),
		kong.Bind(e),
	)
}

// helped is what a parser's exit after --help is turned into.
type helped struct{ code int }

func run(args []string, e environment) (code int) {
	defer func() {
		if h := recover(); h != nil {
			asked, ok := h.(helped)
			if !ok {
				panic(h)
			}
			code = asked.code
		}
	}()
	var c commands
	parser, err := newParser(&c, e, func(code int) { panic(helped{code}) })
	if err != nil {
		panic(err) // the struct above is at fault
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
		return exitServe
	}
	return exitOK
}
