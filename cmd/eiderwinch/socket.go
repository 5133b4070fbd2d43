package main

import (
	"errors"
	"fmt"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/format/settings"
)

// adminSocket holds the flags that name the admin socket of a running program.
type adminSocket struct {
	At   string `placeholder:"ENDPOINT" help:"The admin socket: unix:PATH, or a loopback address and a port."`
	File string `placeholder:"FILE" help:"The operators' file that names the admin socket."`
}

// open returns a client of the socket. endpoint returns the endpoint that an element of an operators' file names, or an
// empty string if the file has no such element.
func (c adminSocket) open(timeout time.Duration, element string, endpoint func(*settings.File) string) (*admin.Client, error) {
	switch {
	case (c.At == "") == (c.File == ""):
		return nil, &exitError{exitConfig, errors.New("want exactly one of --at and --file")}
	case c.File != "":
		ops, err := readOperatorsFile(c.File)
		if err != nil {
			return nil, err
		}
		if c.At = endpoint(ops); c.At == "" {
			return nil, &exitError{exitConfig, fmt.Errorf("%s: found no element %s, want one", c.File, element)}
		}
	}
	return admin.NewClient(c.At, timeout, nil), nil
}
