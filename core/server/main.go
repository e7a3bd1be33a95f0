package server

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"k8s.io/klog/v2"
)

// Exit codes of the programs.
const (
	Done    = 0
	Failed  = 1
	Invalid = 2 // settings
)

// Program is a program with its settings. Embedding Settings gives it Common.
type Program interface {
	Common() *Settings
	// Register adds all flags, with those of Settings.
	Register(fs *flag.FlagSet)
	// Validate returns all faults of the settings at once.
	Validate() error
	// Serve runs the program until it is stopped.
	Serve(ctx context.Context) error
}

// Common returns the settings that all programs have.
func (s *Settings) Common() *Settings { return s }

// Load reads the settings of a program from flags, environment and file, and
// checks them.
func Load(name string, args []string, p Program) error {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	p.Register(fs)
	if err := Parse(fs, args, strings.ToUpper(name)); err != nil {
		return err
	}
	return p.Validate()
}

// Main runs a program and returns its exit code. With --check it ends after
// the check of the settings.
func Main(name string, args []string, p Program) int {
	catch()
	err := Load(name, args, p)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return Done
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return Invalid
	case p.Common().Check:
		fmt.Println("settings are valid")
		return Done
	}
	defer klog.Flush()
	if err := p.Serve(context.Background()); err != nil {
		klog.ErrorS(err, "Program failed", "program", name)
		return Failed
	}
	return Done
}
