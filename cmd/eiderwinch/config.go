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
	"eiderwinch/internal/configuration/keeper"
	"eiderwinch/internal/format/settings"
)

// toGatherer is how commands find a running gatherer.
type toGatherer struct {
	socket
	Timeout time.Duration `default:"15s" help:"An answer is waited for so long."`
}

// do asks a gatherer.
func (c toGatherer) do(method, path string, in, out any) error {
	client, err := c.open(c.Timeout, "admin", func(f *settings.File) string { return f.Admin })
	if err != nil {
		return err
	}
	defer client.Close()
	return client.Do(context.Background(), method, path, in, out)
}

// texts are the files of a configuration.
type texts struct {
	Operators string `placeholder:"FILE" help:"The operators' file to be put in force; without it that in force stays."`
	Platform  string `placeholder:"FILE" help:"The platform's configuration; without it that in force stays."`
	Layout    string `placeholder:"FILE" help:"The layout; without it that in force stays."`
}

func (c texts) read() (b bundle.Bundle, err error) {
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
	texts
	Keys string `required:"" placeholder:"FILE" help:"A key file after deploy/keys.xsd with a key that can sign."`
	Key  string `required:"" help:"The key's name."`
}

// Run prints the signature of the parts.
func (c configSign) Run(e environment) error {
	keys, err := readKeys(c.Keys)
	if err != nil {
		return &exitError{exitConfig, err}
	}
	b, err := c.texts.read()
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
	asJSON
	toGatherer
	texts
	Signature string `help:"As config sign prints it, where the gatherer wants one."`
	Against   uint64 `help:"The generation that it was made against; 0 is the one in force."`
	Note      string `help:"Is shown with the change."`
}

// Run stages it.
func (c configStage) Run(e environment) error {
	p := keeper.Proposal{Against: change.Generation(c.Against), Note: c.Note, Signature: c.Signature}
	var err error
	if p.Bundle, err = c.texts.read(); err != nil {
		return err
	}
	var s keeper.Staged
	if err := c.do(http.MethodPost, "/v1/config", p, &s); err != nil {
		return err
	}
	if c.JSON {
		return c.print(e.stdout, s)
	}
	fmt.Fprintf(e.stdout, "staged as transaction %d, hash %.16s\n", s.Tx, s.Hash)
	if len(s.Restart) > 0 {
		fmt.Fprintf(e.stdout, "at the next start only: %v\n", s.Restart)
	}
	return nil
}

type configApply struct {
	toGatherer
	Transaction uint64        `arg:"" help:"The transaction's number."`
	Within      time.Duration `help:"Its probation; 0 is what the configuration says."`
	Confirm     string        `enum:"auto,hand,file" default:"file" help:"At the end of its probation: auto confirms it, hand undoes it where nobody has confirmed it, file does what the configuration says."`
}

// Run applies it.
func (c configApply) Run(e environment) error {
	a := keeper.Application{WithinMS: c.Within.Milliseconds()}
	if c.Confirm != "file" {
		auto := c.Confirm == "auto"
		a.Auto = &auto
	}
	if err := c.do(http.MethodPost, txPath(c.Transaction, "apply"), a, nil); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "transaction %d is being applied\n", c.Transaction)
	return nil
}

func txPath(tx uint64, verb string) string {
	return "/v1/config/" + strconv.FormatUint(tx, 10) + "/" + verb
}

type configConfirm struct {
	toGatherer
	Transaction uint64 `arg:"" help:"The transaction's number."`
}

// Run confirms it.
func (c configConfirm) Run(e environment) error {
	if err := c.do(http.MethodPost, txPath(c.Transaction, "confirm"), nil, nil); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "transaction %d is confirmed\n", c.Transaction)
	return nil
}

type configUndo struct {
	toGatherer
	Transaction uint64 `arg:"" help:"The transaction's number."`
	Reason      string `default:"by hand" help:"Is shown with the change."`
}

// Run undoes it.
func (c configUndo) Run(e environment) error {
	if err := c.do(http.MethodPost, txPath(c.Transaction, "undo"), keeper.Withdrawal{Reason: c.Reason}, nil); err != nil {
		return err
	}
	fmt.Fprintf(e.stdout, "transaction %d is being undone\n", c.Transaction)
	return nil
}

type configStatus struct {
	asJSON
	toGatherer
}

// Run prints what is in force, and what is under way.
func (c configStatus) Run(e environment) error {
	var s keeper.Status
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
	fmt.Fprintf(e.stdout, "generation %d in force, %d confirmed, hash %.16s; history %s; queries open under %v\n", s.InForce, s.Confirmed, s.Hash, where, s.Open)
	for _, t := range s.Transactions {
		if !t.Over {
			fmt.Fprintf(e.stdout, "transaction %d is %s, generation %d; left %s\n", t.Tx, t.State, t.Gen, t.Left)
		}
	}
	for _, f := range s.Falls {
		fmt.Fprintln(e.stdout, "the guard saw:", f)
	}
	return nil
}

type configHistory struct {
	toGatherer
}

// Run prints all transactions that are known.
func (c configHistory) Run(e environment) error {
	var s keeper.Status
	if err := c.do(http.MethodGet, "/v1/config", nil, &s); err != nil {
		return err
	}
	table := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "transaction\tstate\tgeneration\tagainst\thash\tat\treason")
	for _, t := range s.Transactions {
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%.16s\t%s\t%s\n", t.Tx, t.State, t.Gen, t.Against, t.Hash, t.At.Format(time.RFC3339), t.Reason)
	}
	return table.Flush()
}

type configShow struct {
	toGatherer
	Generation uint64 `arg:"" help:"The generation's number."`
	Part       string `enum:"operators,platform,layout" default:"operators" help:"Which text: operators, platform or layout."`
}

// Run prints a generation's text.
func (c configShow) Run(e environment) error {
	var b bundle.Bundle
	if err := c.do(http.MethodGet, "/v1/config/generations/"+strconv.FormatUint(c.Generation, 10), nil, &b); err != nil {
		return err
	}
	text := map[string][]byte{"operators": b.Operators, "platform": b.Platform, "layout": b.Layout}[c.Part]
	_, err := e.stdout.Write(text)
	return err
}
