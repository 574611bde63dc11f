package main

import (
	"context"
	"errors"
	"time"

	"github.com/alecthomas/kong"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/config"
)

// adminHelp holds the help texts that are too long for a struct tag on one line.
var adminHelp = kong.Vars{"admin_config_help": "The daemon's file; it is asked at operators.address."}

// adminFlag holds the flags that locate a daemon's admin interface: its address, or the configuration file that
// contains the address. Commands that call the interface embed it.
type adminFlag struct {
	Config string `help:"${admin_config_help}" placeholder:"FILE" xor:"where" required:""`
	At     string `help:"Or where it is asked." placeholder:"HOST:PORT" xor:"where" required:""`
}

// address returns the host:port of the admin interface. The error is a *fileError if the configuration file cannot
// be read.
func (f *adminFlag) address() (string, error) {
	if f.Config == "" {
		return f.At, nil
	}
	conf, err := config.Read(f.Config)
	if err != nil {
		return "", &fileError{f.Config, err}
	}
	if conf.Admin.Address == "" {
		return "", errors.New("the file does not set operators.address: the address of the daemon is unknown")
	}
	return conf.Admin.Address, nil
}

// callTimeout is the longest duration of one call to a daemon's admin interface.
const callTimeout = 3 * time.Second

// call calls the admin interface with body encoded as JSON, or without a body if it is nil, and returns the body of
// the response.
func (f *adminFlag) call(ctx context.Context, path string, body any) ([]byte, error) {
	address, err := f.address()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return admin.Call(ctx, address, path, body)
}
