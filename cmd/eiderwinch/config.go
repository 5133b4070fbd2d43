package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/configuration/manager"
	"eiderwinch/internal/format/settings"
)

// gathererTarget holds the flags by which a command reaches a running gatherer.
type gathererTarget struct {
	adminSocket
	Timeout time.Duration `default:"15s" help:"How long to wait for an answer."`
}

// do sends one request to the gatherer.
func (c gathererTarget) do(method, path string, in, out any) error {
	client, err := c.open(c.Timeout, "admin", func(f *settings.File) string { return f.Admin })
	if err != nil {
		return err
	}
	defer client.Close()
	return client.Do(context.Background(), method, path, in, out)
}

// proposedFiles holds the flags that name the files of a configuration to be staged or signed.
type proposedFiles struct {
	Operators string `placeholder:"FILE" help:"The operators' file to put in force; without it the one in force stays."`
	Platform  string `placeholder:"FILE" help:"The platform's configuration; without it the one in force stays."`
	Layout    string `placeholder:"FILE" help:"The layout; without it the one in force stays."`
}

func (c proposedFiles) read() (b bundle.Bundle, err error) {
	for _, part := range []struct {
		path string
		text *[]byte
	}{{c.Operators, &b.Operators}, {c.Platform, &b.Platform}, {c.Layout, &b.Layout}} {
		if part.path == "" {
			continue
		}
		if *part.text, err = os.ReadFile(part.path); err != nil {
			return b, &exitError{exitConfig, err}
		}
	}
	return b, nil
}

type configSign struct {
	proposedFiles
	Keys string `required:"" placeholder:"FILE" help:"A key file that conforms to deploy/keys.xsd, with a key that can sign."`
	Key  string `required:"" help:"The key's name."`
}

// Run prints a signature of the files.
func (c configSign) Run(e environment) error {
	keys, err := readKeys(c.Keys)
	if err != nil {
		return &exitError{exitConfig, err}
	}
	b, err := c.proposedFiles.read()
	if err != nil {
		return err
	}
	hash := b.Hash()
	sig, err := keys.Sign(time.Now(), c.Key, hash[:])
	if err != nil {
		return &exitError{exitConfig, err}
	}
	fmt.Fprintln(e.stdout, sig)
	return nil
}

type configStage struct {
	outputFormat
	gathererTarget
	proposedFiles
	Signature string `help:"The signature printed by config sign, if the gatherer requires one."`
	Against   uint64 `help:"The generation that the change is based on; 0 is the one in force."`
	Note      string `help:"A note that is shown with the change."`
}

// Run stages the configuration.
func (c configStage) Run(e environment) error {
	p := manager.StageRequest{Against: change.Generation(c.Against), Note: c.Note, Signature: c.Signature}
	var err error
	if p.Bundle, err = c.proposedFiles.read(); err != nil {
		return err
	}
	var s manager.StageResult
	if err := c.do(http.MethodPost, "/v1/config", p, &s); err != nil {
		return err
	}
	if c.JSON {
		return c.print(e.stdout, s)
	}
	fmt.Fprintf(e.stdout, "staged as transaction %d, hash %.16s\n", s.Tx, s.Hash)
	if len(s.Restart) > 0 {
		fmt.Fprintf(e.stdout, "these take effect only at the next start: %v\n", s.Restart)
	}
	if len(s.Ignored) > 0 {
		fmt.Fprintf(e.stdout, "these take no effect, the platform decides them: %v\n", s.Ignored)
	}
	return nil
}

type configApply struct {
	gathererTarget
	Transaction uint64        `arg:"" help:"The transaction's number."`
	Within      time.Duration `help:"The probation time; 0 means the one in the configuration."`
	Confirm     string        `enum:"auto,hand,file" default:"file" help:"What happens at the end of the probation: auto confirms the change, hand undoes it unless it was confirmed, file does what the configuration says."`
}

// Run applies the transaction.
func (c configApply) Run(e environment) error {
	request := manager.ApplyRequest{WithinMS: c.Within.Milliseconds()}
	if c.Confirm != "file" {
		auto := c.Confirm == "auto"
		request.Auto = &auto
	}
	if err := c.do(http.MethodPost, transactionPath(c.Transaction, "apply"), request, nil); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "transaction %d is being applied\n", c.Transaction)
	return nil
}

// transactionPath returns the admin path of an operation on a transaction.
func transactionPath(tx uint64, verb string) string {
	return "/v1/config/" + strconv.FormatUint(tx, 10) + "/" + verb
}

type configConfirm struct {
	gathererTarget
	Transaction uint64 `arg:"" help:"The transaction's number."`
}

// Run confirms the transaction.
func (c configConfirm) Run(e environment) error {
	if err := c.do(http.MethodPost, transactionPath(c.Transaction, "confirm"), nil, nil); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "transaction %d is confirmed\n", c.Transaction)
	return nil
}

type configUndo struct {
	gathererTarget
	Transaction uint64 `arg:"" help:"The transaction's number."`
	Reason      string `default:"by hand" help:"A reason that is shown with the change."`
}

// Run undoes the transaction.
func (c configUndo) Run(e environment) error {
	if err := c.do(http.MethodPost, transactionPath(c.Transaction, "undo"), manager.UndoRequest{Reason: c.Reason}, nil); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "transaction %d is being undone\n", c.Transaction)
	return nil
}

type configStatus struct {
	outputFormat
	gathererTarget
}

// Run prints which configuration is in force and which transactions are under way.
func (c configStatus) Run(e environment) error {
	var s manager.Status
	if err := c.do(http.MethodGet, "/v1/config", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return c.print(e.stdout, s)
	}
	where := "in memory only"
	if s.Durable {
		where = "on disk"
	}
	fmt.Fprintf(e.stdout, "generation %d in force, %d confirmed, hash %.16s; history %s; queries open under %v\n", s.InForce, s.Confirmed, s.Hash, where, s.OpenGenerations)
	fmt.Fprintf(e.stdout, "discovery at %s, named by the platform's %s at %s\n", s.Discovery.Address, s.Discovery.Source, s.Discovery.Since.Format(time.RFC3339))
	if s.Waiting != nil {
		fmt.Fprintf(e.stdout, "files read at %s wait, hash %.16s: %s\n", s.Waiting.ReadAt.Format(time.RFC3339), s.Waiting.Hash, s.Waiting.Reason)
	}
	for _, t := range s.Transactions {
		if !t.Over {
			fmt.Fprintf(e.stdout, "transaction %d is %s, generation %d; left %s\n", t.Tx, t.State, t.Generation, t.ProbationLeft)
		}
	}
	for _, f := range s.Regressions {
		fmt.Fprintln(e.stdout, "the guard reported:", f)
	}
	return nil
}

type configHistory struct {
	gathererTarget
}

// Run prints all transactions that the gatherer knows.
func (c configHistory) Run(e environment) error {
	var s manager.Status
	if err := c.do(http.MethodGet, "/v1/config", nil, &s); err != nil {
		return err
	}
	table := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "transaction\tstate\tgeneration\tagainst\thash\tat\treason")
	for _, t := range s.Transactions {
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%.16s\t%s\t%s\n", t.Tx, t.State, t.Generation, t.Against, t.Hash, t.At.Format(time.RFC3339), t.Reason)
	}
	return table.Flush()
}

type configShow struct {
	gathererTarget
	Generation uint64 `arg:"" help:"The generation's number."`
	Part       string `enum:"operators,platform,layout" default:"operators" help:"Which of its files to print: operators, platform or layout."`
}

// Run prints one file of a generation.
func (c configShow) Run(e environment) error {
	var b bundle.Bundle
	if err := c.do(http.MethodGet, "/v1/config/generations/"+strconv.FormatUint(c.Generation, 10), nil, &b); err != nil {
		return err
	}
	text := map[string][]byte{"operators": b.Operators, "platform": b.Platform, "layout": b.Layout}[c.Part]
	_, err := e.stdout.Write(text)
	return err
}
