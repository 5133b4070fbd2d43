package main

import (
	"errors"
	"fmt"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/format/settings"
)

// socket is how commands find the admin socket of a running program.
type socket struct {
	At   string `placeholder:"ENDPOINT" help:"Its admin socket: unix:PATH, or a loopback address and a port."`
	File string `placeholder:"FILE" help:"The operators' file that names it."`
}

// open returns a client of the socket. In an operators' file an element names it;
// endpoint returns what that says, empty where it is not there.
func (c socket) open(timeout time.Duration, element string, endpoint func(*settings.File) string) (*admin.Client, error) {
	switch {
	case (c.At == "") == (c.File == ""):
		return nil, &exitError{exitConfig, errors.New("want one of --at and --file")}
	case c.File != "":
		ops, err := readOps(c.File)
		if err != nil {
			return nil, err
		}
		if c.At = endpoint(ops); c.At == "" {
			return nil, &exitError{exitConfig, fmt.Errorf("%s: found no %s, want that element", c.File, element)}
		}
	}
	return admin.NewClient(c.At, timeout, nil), nil
}
