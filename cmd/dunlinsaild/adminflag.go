package main

import (
	"context"
	"errors"
	"time"

	"github.com/alecthomas/kong"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/config"
)

// adminHelp holds the help texts that are too long for a tag on one line.
var adminHelp = kong.Vars{"admin_config_help": "The daemon's file; it is asked at operators.address."}

// adminFlag is the address at which a daemon takes operators' calls, or the file that has it. Commands that make such
// calls embed it.
type adminFlag struct {
	Config string `help:"${admin_config_help}" placeholder:"FILE" xor:"where" required:""`
	At     string `help:"Or where it is asked." placeholder:"HOST:PORT" xor:"where" required:""`
}

// address returns the host:port that the flags name. The error is a *fileError if the file cannot be read.
func (f *adminFlag) address() (string, error) {
	if f.Config == "" {
		return f.At, nil
	}
	conf, err := config.Read(f.Config)
	if err != nil {
		return "", &fileError{f.Config, err}
	}
	if conf.Admin.Address == "" {
		return "", errors.New("operators.address is not set in that file: nobody can be asked")
	}
	return conf.Admin.Address, nil
}

// callTimeout bounds a call to a daemon.
const callTimeout = 3 * time.Second

// call makes an operators' call, with a body in JSON unless it is nil, and returns the body of the answer.
func (f *adminFlag) call(ctx context.Context, path string, body any) ([]byte, error) {
	address, err := f.address()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return admin.Call(ctx, address, path, body)
}
